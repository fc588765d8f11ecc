package runner

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/prober"
)

// segmentBytes is the size of the requests that are sent before their responses
// are read. It fits into the socket buffers, so that proxy and server never
// block each other by writing.
const segmentBytes = 16 << 10

// sendBatch sends the batch, and the status query after it unless the batch ends with Flush.
func (x *Exchange) sendBatch() error {
	if x.Batch.Query != nil {
		x.Conn.Send(&pgproto3.Query{String: x.cfg.Parser.Keys.Rewrite(x.Batch.Query.String, x.Plan.Executed)})
		return x.sendEnd(false)
	}
	pending := 0
	for _, m := range x.Batch.Messages {
		size := messageSize(m)
		if pending > 0 && pending+size > segmentBytes {
			if err := x.drainSegment(); err != nil {
				return err
			}
			pending = 0
		}
		if x.skipping {
			break
		}
		x.messages.Translate(m)
		pending += size
	}
	if x.Batch.Flushed {
		return x.drainSegment()
	}
	return x.sendEnd(true)
}

func (x *Exchange) sendEnd(sync bool) error {
	if sync {
		x.Conn.Send(&pgproto3.Sync{})
	}
	if x.pipelinesStatus() {
		x.Conn.Send(&pgproto3.Query{String: prober.StatusQuery})
	}
	return x.flush()
}

func (x *Exchange) flush() error {
	if err := x.Conn.Flush(); err != nil {
		return Lost("connection to backend server %s was lost", x.Conn.Server())
	}
	return nil
}

// drainSegment reads the responses to everything that was sent so far.
func (x *Exchange) drainSegment() error {
	if x.skipping {
		return nil
	}
	x.Conn.Send(&pgproto3.Flush{})
	if err := x.flush(); err != nil {
		return err
	}
	return x.receiveUntil(func() bool { return x.messages.Pending() == 0 })
}

func messageSize(m pgproto3.FrontendMessage) int {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return 64 + len(m.Query)
	case *pgproto3.Bind:
		n := 64
		for _, p := range m.Parameters {
			n += 4 + len(p)
		}
		return n
	}
	return 64
}
