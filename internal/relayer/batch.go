package relayer

import (
	"errors"
	"io"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/resolver"
)

// input is one message of the caller, or the error that ends them.
type input struct {
	msg pgproto3.FrontendMessage
	// size is the length of the encoded message.
	size int
	err  error
}

// batch is what the caller wants to be run as one: a simple query, or
// extended-protocol messages up to Sync or Flush.
type batch struct {
	msgs []pgproto3.FrontendMessage
	// query is set for a simple query.
	query *pgproto3.Query
	// flushed is set when the batch ends with Flush instead of Sync.
	flushed bool
	size    int
	// refusal is set for a message that the proxy does not support.
	refusal *pgproto3.ErrorResponse
}

// readLoop passes on the caller's messages. It reads ahead by one message, so
// that it notices a vanished caller while a statement runs.
func (s *Session) readLoop() {
	for {
		in := s.readMessage()
		if _, ends := in.msg.(*pgproto3.Terminate); ends || isVanished(in.err) {
			s.vanish()
			return
		}
		select {
		case s.incoming <- in:
		case <-s.ctx.Done():
			return
		}
		if in.err != nil {
			return
		}
	}
}

func (s *Session) readMessage() input {
	msg, err := s.back.Receive()
	if err != nil {
		return input{err: err}
	}
	return cloneMessage(msg)
}

// vanish cancels what runs for a caller that is gone.
func (s *Session) vanish() {
	close(s.gone)
	s.cancel()
	ctx, cancel := contextWithTimeout(cancelWait)
	defer cancel()
	_ = s.Cancel(ctx)
}

func isVanished(err error) bool {
	if err == nil {
		return false
	}
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// cloneMessage copies a message out of the read buffer.
func cloneMessage(msg pgproto3.FrontendMessage) input {
	var c pgproto3.FrontendMessage
	switch msg.(type) {
	case *pgproto3.Query:
		c = &pgproto3.Query{}
	case *pgproto3.Parse:
		c = &pgproto3.Parse{}
	case *pgproto3.Bind:
		c = &pgproto3.Bind{}
	case *pgproto3.Describe:
		c = &pgproto3.Describe{}
	case *pgproto3.Execute:
		c = &pgproto3.Execute{}
	case *pgproto3.Close:
		c = &pgproto3.Close{}
	case *pgproto3.Sync:
		return input{msg: &pgproto3.Sync{}, size: 5}
	case *pgproto3.Flush:
		return input{msg: &pgproto3.Flush{}, size: 5}
	case *pgproto3.Terminate:
		return input{msg: &pgproto3.Terminate{}, size: 5}
	case *pgproto3.FunctionCall:
		return input{msg: &pgproto3.FunctionCall{}, size: 5}
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return input{msg: &pgproto3.CopyFail{}, size: 5}
	default:
		return input{err: errors.New("unexpected message")}
	}
	raw, err := msg.Encode(nil)
	if err != nil {
		return input{err: err}
	}
	return input{msg: c, size: len(raw), err: c.Decode(raw[headerBytes:])}
}

// headerBytes is the length of a message's type and length fields.
const headerBytes = 5

// nextBatch gathers the next batch.
func (s *Session) nextBatch() (*batch, error) {
	b := &batch{}
	for {
		in, err := s.next(len(b.msgs) == 0)
		if err != nil {
			return nil, err
		}
		b.size += in.size
		if b.size > s.r.cfg.BatchLimit {
			return nil, fatal(resolver.CodeLimitExceeded, "batch of messages is too large")
		}
		done, err := s.add(b, in.msg)
		if done || err != nil {
			return b, err
		}
	}
}

// add puts a message into the batch and reports whether the batch is complete.
func (s *Session) add(b *batch, msg pgproto3.FrontendMessage) (bool, error) {
	switch m := msg.(type) {
	case *pgproto3.Query:
		if len(b.msgs) > 0 || s.held.open != nil {
			return false, fatal(resolver.CodeProtocolViolation, "simple query inside an extended-protocol batch")
		}
		b.query = m
		return true, nil
	case *pgproto3.Sync:
		return true, nil
	case *pgproto3.Flush:
		b.flushed = true
		return true, nil
	case *pgproto3.FunctionCall:
		if len(b.msgs) > 0 || s.held.open != nil {
			return false, fatal(resolver.CodeProtocolViolation, "function call inside an extended-protocol batch")
		}
		b.refusal = resolver.Error(resolver.CodeNotSupported, "function call messages are not supported by the proxy", "")
		return true, nil
	case *pgproto3.CopyFail:
		return false, nil // left over from a refused COPY, ignored as by a server
	}
	b.msgs = append(b.msgs, msg)
	return false, nil
}

// next waits for one message. A session that is idle ends when it is told to
// drain.
func (s *Session) next(start bool) (input, error) {
	var draining <-chan struct{}
	if start && !s.held.tx.active && s.held.open == nil && !s.lost {
		draining = s.draining
	}
	s.idle.Store(draining != nil)
	defer s.idle.Store(false)
	select {
	case in := <-s.incoming:
		return in, s.inputError(in.err)
	case <-s.gone:
		return input{}, errClosed
	case <-draining:
		return input{}, fatal(resolver.CodeShutdown, "this proxy is shutting down, connect again")
	case <-s.expired:
		if s.held.tx.active || s.held.open != nil {
			return input{}, fatal(resolver.CodeNotRun, "transaction was not run: this proxy is shutting down")
		}
		return input{}, fatal(resolver.CodeShutdown, "this proxy is shutting down, connect again")
	}
}

func (s *Session) inputError(err error) error {
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	switch {
	case err == nil:
		return nil
	case isVanished(err):
		return errClosed
	case errors.As(err, &tooLarge):
		return fatal(resolver.CodeLimitExceeded, "message is too large")
	}
	return fatal(resolver.CodeProtocolViolation, "malformed message")
}
