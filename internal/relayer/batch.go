package relayer

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/budgeter"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/responder"
)

// callerMessage is one message of the caller, or the error that ended reading.
type callerMessage struct {
	msg pgproto3.FrontendMessage
	// size is the length of the encoded message.
	size int
	err  error
}

// batch is the unit that is run: a simple query, or extended-protocol messages
// up to Sync or Flush.
type batch struct {
	msgs []pgproto3.FrontendMessage
	// query is set for a simple query.
	query *pgproto3.Query
	// flushed is set when the batch ends with Flush instead of Sync.
	flushed bool
	// size is the length of the encoded messages in bytes.
	size int
	// unsupported is the error for a message that the proxy does not support.
	unsupported *pgproto3.ErrorResponse
}

// readLoop passes on the caller's messages. It reads one message ahead, so that
// it notices a disconnect while a statement runs.
func (s *Session) readLoop() {
	for {
		in := s.readMessage()
		if _, ends := in.msg.(*pgproto3.Terminate); ends || isDisconnect(in.err) {
			s.handleDisconnect()
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

func (s *Session) readMessage() callerMessage {
	msg, err := s.backend.Receive()
	if err != nil {
		return callerMessage{err: err}
	}
	return takeMessage(msg)
}

// handleDisconnect cancels what runs for a caller that has disconnected.
func (s *Session) handleDisconnect() {
	close(s.disconnected)
	s.cancel()
	s.cancelRunning()
}

// cancelRunning cancels what the session runs, if anything.
func (s *Session) cancelRunning() {
	ctx, cancel := detachedContext(cancelTimeout)
	defer cancel()
	_ = s.Cancel(ctx)
}

func isDisconnect(err error) bool {
	if err == nil {
		return false
	}
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// takeMessage returns a message that does not refer to the read buffer. It clears the
// receiver's own message, so that an idle session does not keep the last large one.
func takeMessage(msg pgproto3.FrontendMessage) callerMessage {
	switch m := msg.(type) {
	case *pgproto3.Query:
		taken := *m
		*m = pgproto3.Query{}
		return callerMessage{msg: &taken, size: headerBytes + len(taken.String) + 1}
	case *pgproto3.Parse:
		taken := *m
		*m = pgproto3.Parse{}
		const counts = 4 // two terminators and the number of types
		return callerMessage{msg: &taken, size: headerBytes + len(taken.Name) + len(taken.Query) + counts + 4*len(taken.ParameterOIDs)}
	case *pgproto3.Bind:
		taken := cloneMessage(m, &pgproto3.Bind{})
		*m = pgproto3.Bind{}
		return taken
	case *pgproto3.Describe:
		return cloneMessage(m, &pgproto3.Describe{})
	case *pgproto3.Execute:
		return cloneMessage(m, &pgproto3.Execute{})
	case *pgproto3.Close:
		return cloneMessage(m, &pgproto3.Close{})
	case *pgproto3.Sync:
		return callerMessage{msg: &pgproto3.Sync{}, size: headerBytes}
	case *pgproto3.Flush:
		return callerMessage{msg: &pgproto3.Flush{}, size: headerBytes}
	case *pgproto3.Terminate:
		return callerMessage{msg: &pgproto3.Terminate{}, size: headerBytes}
	case *pgproto3.FunctionCall:
		*m = pgproto3.FunctionCall{}
		return callerMessage{msg: &pgproto3.FunctionCall{}, size: headerBytes}
	case *pgproto3.CopyData:
		*m = pgproto3.CopyData{}
		return callerMessage{msg: &pgproto3.CopyFail{}, size: headerBytes}
	case *pgproto3.CopyDone, *pgproto3.CopyFail:
		return callerMessage{msg: &pgproto3.CopyFail{}, size: headerBytes}
	}
	return callerMessage{err: errors.New("unexpected message")}
}

// cloneMessage copies a message into c.
func cloneMessage(msg, c pgproto3.FrontendMessage) callerMessage {
	raw, err := msg.Encode(nil)
	if err != nil {
		return callerMessage{err: err}
	}
	return callerMessage{msg: c, size: len(raw), err: c.Decode(raw[headerBytes:])}
}

// headerBytes is the length of the type and length fields of a message.
const headerBytes = 5

// nextBatch reads the next batch.
func (s *Session) nextBatch() (*batch, error) {
	b := &batch{}
	if s.batchTaken {
		s.in.Done()
		s.batchTaken = false
	}
	for {
		in, err := s.nextMessage(len(b.msgs) == 0)
		if err != nil {
			return nil, err
		}
		b.size += in.size
		if b.size > s.r.cfg.BatchLimit {
			return nil, responder.Fatal(resolver.CodeLimitExceeded, "batch of messages is too large")
		}
		done, err := s.addMessage(b, in.msg)
		s.batchTaken = done
		if done || err != nil {
			return b, err
		}
	}
}

// addMessage adds a message to the batch and reports whether the batch is
// complete.
func (s *Session) addMessage(b *batch, msg pgproto3.FrontendMessage) (bool, error) {
	switch m := msg.(type) {
	case *pgproto3.Query:
		if len(b.msgs) > 0 || s.retained.openExchange != nil {
			return false, responder.Fatal(resolver.CodeProtocolViolation, "simple query inside an extended-protocol batch")
		}
		b.query = m
		return true, nil
	case *pgproto3.Sync:
		return true, nil
	case *pgproto3.Flush:
		b.flushed = true
		return true, nil
	case *pgproto3.FunctionCall:
		if len(b.msgs) > 0 || s.retained.openExchange != nil {
			return false, responder.Fatal(resolver.CodeProtocolViolation, "function call inside an extended-protocol batch")
		}
		b.unsupported = resolver.Error(resolver.CodeNotSupported, "function call messages are not supported by the proxy", "")
		return true, nil
	case *pgproto3.CopyFail:
		return false, nil // left over from a refused COPY, ignored as by a server
	}
	b.msgs = append(b.msgs, msg)
	return false, nil
}

// nextMessage waits for one message; start is set for the first of a batch. An
// idle session ends when it is told to drain.
func (s *Session) nextMessage(start bool) (callerMessage, error) {
	var draining <-chan struct{}
	if start && !s.retained.tx.active && s.retained.openExchange == nil && !s.txLost {
		draining = s.draining
	}
	if draining != nil {
		s.idleSince.Store(time.Now().UnixNano())
		defer s.idleSince.Store(0)
	}
	select {
	case in := <-s.incoming:
		return in, s.messageError(in.err)
	case <-s.disconnected:
		return callerMessage{}, responder.ErrClosed
	case <-draining:
		return callerMessage{}, s.endError(false)
	case <-s.expired:
		return callerMessage{}, s.endError(true)
	}
}

func (s *Session) messageError(err error) error {
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	switch {
	case err == nil:
		return nil
	case isDisconnect(err):
		return responder.ErrClosed
	case errors.Is(err, budgeter.ErrExhausted):
		return responder.Fatal(resolver.CodeOutOfMemory, "request was not run: "+err.Error())
	case errors.Is(err, budgeter.ErrEvicted):
		return responder.ErrClosed
	case errors.As(err, &tooLarge):
		return responder.Fatal(resolver.CodeLimitExceeded, "message is too large")
	}
	return responder.Fatal(resolver.CodeProtocolViolation, "malformed message")
}
