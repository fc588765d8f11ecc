package relayer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/prober"
)

// segmentBytes is the size of the requests that are sent before their responses
// are read. It fits into the socket buffers, so that proxy and server never
// block each other by writing.
const segmentBytes = 16 << 10

// sendBatch sends the batch. Unless it ends with Flush, Sync and the status
// query follow.
func (x *exchange) sendBatch() error {
	if x.batch.Query != nil {
		x.conn.Send(&pgproto3.Query{String: x.s.parser.Keys.Rewrite(x.batch.Query.String, x.plan.Executed)})
		return x.sendEnd(false)
	}
	pending := 0
	for _, m := range x.batch.Messages {
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
	if x.batch.Flushed {
		return x.drainSegment()
	}
	return x.sendEnd(true)
}

func (x *exchange) sendEnd(sync bool) error {
	if sync {
		x.conn.Send(&pgproto3.Sync{})
	}
	if x.pipelinesStatus() {
		x.conn.Send(&pgproto3.Query{String: prober.StatusQuery})
	}
	return x.flushConn()
}

func (x *exchange) flushConn() error {
	if err := x.conn.Flush(); err != nil {
		return connLost("connection to backend server %s was lost", x.conn.Server())
	}
	return nil
}

// drainSegment reads the responses to everything that was sent so far.
func (x *exchange) drainSegment() error {
	if x.skipping {
		return nil
	}
	x.conn.Send(&pgproto3.Flush{})
	if err := x.flushConn(); err != nil {
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
