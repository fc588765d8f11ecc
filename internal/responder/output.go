package responder

import (
	"net"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/framer"
	"marigoldhub.example/hub/internal/guarder"
	"marigoldhub.example/hub/internal/terminator"
)

const (
	// PieceBytes is the size of the pieces in which answers are written.
	PieceBytes = 16 << 10
	// maxIdleBufferBytes is the largest buffer that an idle session keeps.
	maxIdleBufferBytes = 1 << 10
	// slowReaderGrace is how long a caller may take to accept a piece of an answer while it
	// holds a server connection for which other sessions are starved. It is half of the time
	// for which they wait.
	slowReaderGrace = time.Second
	// starvedInterval is how often a slow write checks for starved sessions after that.
	starvedInterval = 100 * time.Millisecond
)

// Config holds what an [Output] needs.
type Config struct {
	// Conn is the caller's connection.
	Conn net.Conn
	// Inbound accounts for the memory of the connection; nil means no limit.
	Inbound *framer.Inbound
	// WriteWait is the time that the caller may take to accept a piece of an answer.
	WriteWait time.Duration
	// HoldsServer reports whether the session uses or retains a server connection, and
	// IsStarved whether another session has waited too long for one.
	HoldsServer func() bool
	IsStarved   func() bool
	Log         logrus.FieldLogger
}

// Output is the buffered output to one caller. It is used by one goroutine.
type Output struct {
	cfg Config
	buf []byte
	// reserved is the capacity of buf for which memory is reserved.
	reserved int
}

// New returns an output.
func New(cfg Config) *Output { return &Output{cfg: cfg} }

// Send adds messages to the output.
func (o *Output) Send(msgs ...pgproto3.BackendMessage) {
	for _, m := range msgs {
		if encoded, err := m.Encode(o.buf); err == nil { // only messages of more than 1 GB fail
			o.buf = encoded
		}
	}
}

// Len returns the number of buffered bytes.
func (o *Output) Len() int { return len(o.buf) }

// Drop drops what is buffered.
func (o *Output) Drop() { o.buf = o.buf[:0] }

// Reserve reserves memory for the buffer after it has grown.
func (o *Output) Reserve() error {
	if cap(o.buf) <= o.reserved {
		return nil
	}
	// A growing buffer is in memory together with its predecessor.
	if err := o.cfg.Inbound.ReserveOutput(2 * cap(o.buf)); err != nil {
		return err
	}
	o.reserved = cap(o.buf)
	return nil
}

// Flush writes the buffered output to the caller, in pieces that each have their own time. Its
// error is [terminator.ErrClosed].
func (o *Output) Flush() error {
	if len(o.buf) == 0 {
		return nil
	}
	o.cfg.Inbound.SetWriting(true)
	defer o.cfg.Inbound.SetWriting(false)
	holds := o.cfg.HoldsServer()
	var err error
	for piece := range slices.Chunk(o.buf, PieceBytes) {
		if err = o.writePiece(piece, holds); err != nil {
			break
		}
		o.cfg.Inbound.Progress(len(piece))
	}
	if cap(o.buf) > maxIdleBufferBytes {
		o.buf = nil
	}
	o.Drop()
	if o.reserved > 0 {
		o.reserved = 0
		_ = o.cfg.Inbound.ReserveOutput(0) // never waits
	}
	if err != nil {
		return terminator.ErrClosed
	}
	return nil
}

// writePiece writes one piece. If the session holds a server connection, it gives up when
// the caller has accepted nothing for slowReaderGrace and others are starved.
func (o *Output) writePiece(piece []byte, holdsServer bool) error {
	began := time.Now()
	_ = o.cfg.Conn.SetWriteDeadline(began.Add(o.cfg.WriteWait))
	if holdsServer {
		ended := make(chan struct{})
		defer close(ended)
		watch := time.AfterFunc(slowReaderGrace, func() { o.abandonSlowReader(ended) })
		defer watch.Stop()
	}
	_, err := o.cfg.Conn.Write(piece)
	if err != nil && time.Since(began) >= slowReaderGrace {
		o.cfg.Inbound.NoteSlowReader()
	}
	return err
}

// abandonSlowReader ends a write as soon as another session of the group is starved.
func (o *Output) abandonSlowReader(ended <-chan struct{}) {
	defer guarder.Recover(o.cfg.Log, "answer to a slow caller")
	ticker := time.NewTicker(starvedInterval)
	defer ticker.Stop()
	for !o.cfg.IsStarved() {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
	}
	select {
	case <-ended:
	default:
		_ = o.cfg.Conn.Close()
	}
}
