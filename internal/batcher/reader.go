package batcher

import (
	"context"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/budgeter"
	"marigoldhub.example/hub/internal/framer"
	"marigoldhub.example/hub/internal/guarder"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/terminator"
)

// Config holds what a [Reader] needs.
type Config struct {
	// Backend reads the caller's messages.
	Backend *pgproto3.Backend
	// Inbound is what Backend reads from; nil means that memory is not limited.
	Inbound *framer.Inbound
	// Limit is the largest batch, in bytes.
	Limit int
	// Terminator ends the session.
	Terminator *terminator.Terminator
	// OnDisconnect is called once the caller has disconnected or terminated.
	OnDisconnect func()
	Log          logrus.FieldLogger
}

// Reader reads the batches of one caller.
type Reader struct {
	cfg          Config
	incoming     chan message
	disconnected chan struct{} // closed when the caller disconnects or terminates
	done         chan struct{} // closed when nothing is read any more
	// batchTaken is set while a batch holds memory.
	batchTaken bool
}

// New returns a reader. It reads when Run is called.
func New(cfg Config) *Reader {
	return &Reader{cfg: cfg, incoming: make(chan message), disconnected: make(chan struct{}), done: make(chan struct{})}
}

// Disconnected is closed when the caller has disconnected or terminated.
func (r *Reader) Disconnected() <-chan struct{} { return r.disconnected }

// Done is closed when Run has ended.
func (r *Reader) Done() <-chan struct{} { return r.done }

// Run reads the caller's messages until one ends reading or the context ends. A panic ends it
// like a disconnect.
func (r *Reader) Run(ctx context.Context) {
	defer close(r.done)
	defer guarder.Recover(r.cfg.Log, "messages of a caller")
	ended := false
	defer func() {
		if !ended {
			r.handleDisconnect()
		}
	}()
	r.read(ctx)
	ended = true
}

// read passes on the caller's messages. It reads one message ahead, so that
// it notices a disconnect while a statement runs.
func (r *Reader) read(ctx context.Context) {
	for {
		in := r.receive()
		if _, ends := in.msg.(*pgproto3.Terminate); ends || isDisconnect(in.err) {
			r.handleDisconnect()
			return
		}
		select {
		case r.incoming <- in:
		case <-ctx.Done():
			return
		}
		if in.err != nil {
			return
		}
	}
}

func (r *Reader) receive() message {
	msg, err := r.cfg.Backend.Receive()
	if err != nil {
		return message{err: err}
	}
	return takeMessage(msg)
}

func (r *Reader) handleDisconnect() {
	close(r.disconnected)
	r.cfg.OnDisconnect()
}

// State is the state of a session in which it waits for a batch.
type State struct {
	// IsIdle is set when the session may end if it is drained.
	IsIdle bool
	// InTransaction is set when something is rolled back if the session ends.
	InTransaction bool
	// AwaitsSync is set when the batch before ended with Flush.
	AwaitsSync bool
}

// Next returns the next batch. The one before must not be used any more.
func (r *Reader) Next(st State) (*Batch, error) {
	b := &Batch{}
	if r.batchTaken {
		r.cfg.Inbound.Done()
		r.batchTaken = false
	}
	for {
		in, err := r.next(st, len(b.Messages) == 0)
		if err != nil {
			return nil, err
		}
		b.size += in.size
		if b.size > r.cfg.Limit {
			return nil, terminator.Fatal(resolver.CodeLimitExceeded, "batch of messages is too large")
		}
		done, err := b.add(in.msg, st.AwaitsSync)
		r.batchTaken = done
		if done || err != nil {
			return b, err
		}
	}
}

// next waits for one message; start is set for the first of a batch. An
// idle session ends when it is told to drain.
func (r *Reader) next(st State, start bool) (message, error) {
	var draining <-chan struct{}
	if start && st.IsIdle {
		draining = r.cfg.Terminator.Draining()
		r.cfg.Terminator.SetIdle(true)
		defer r.cfg.Terminator.SetIdle(false)
	}
	select {
	case in := <-r.incoming:
		return in, messageError(in.err)
	case <-r.disconnected:
		return message{}, terminator.ErrClosed
	case <-draining:
		return message{}, r.cfg.Terminator.EndError(false, st.InTransaction)
	case <-r.cfg.Terminator.Expired():
		return message{}, r.cfg.Terminator.EndError(true, st.InTransaction)
	}
}

func messageError(err error) error {
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	switch {
	case err == nil:
		return nil
	case isDisconnect(err):
		return terminator.ErrClosed
	case errors.Is(err, budgeter.ErrExhausted):
		return terminator.Fatal(resolver.CodeOutOfMemory, "request was not run: "+err.Error())
	case errors.Is(err, budgeter.ErrEvicted):
		return terminator.ErrClosed
	case errors.As(err, &tooLarge):
		return terminator.Fatal(resolver.CodeLimitExceeded, "message is too large")
	}
	return terminator.Fatal(resolver.CodeProtocolViolation, "malformed message")
}
