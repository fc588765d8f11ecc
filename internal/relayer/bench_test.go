package relayer_test

import (
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// benchmarkStatement measures one statement over loopback, without and with
// the proxy. The fake confirmer answers at once.
func benchmarkStatement(b *testing.B, sql string, replica bool) {
	fx := newFixture(b)
	round := func(b *testing.B, fe *pgproto3.Frontend) {
		for b.Loop() {
			fe.Send(&pgproto3.Query{String: sql})
			if err := fe.Flush(); err != nil {
				b.Fatal(err)
			}
			for {
				msg, err := fe.Receive()
				if err != nil {
					b.Fatal(err)
				}
				if e, ok := msg.(*pgproto3.ErrorResponse); ok {
					b.Fatal(e.Code, e.Message)
				}
				if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
					break
				}
			}
		}
	}
	server := fx.a
	if replica {
		server = fx.b
	}
	b.Run("direct", func(b *testing.B) {
		c, err := net.Dial("tcp", server.listener.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		round(b, pgproto3.NewFrontend(c, c))
	})
	b.Run("proxy", func(b *testing.B) {
		r := fx.raw(b)
		_ = r.conn.SetDeadline(time.Time{})
		round(b, r.fe)
	})
}

func BenchmarkCommit(b *testing.B) {
	benchmarkStatement(b, "insert into kv values ('x', '1')", false)
}
func BenchmarkStrictRead(b *testing.B) { benchmarkStatement(b, "select w from other", false) }
func BenchmarkReplicaRead(b *testing.B) {
	benchmarkStatement(b, "select v from kv where k = 'x'", true)
}

// BenchmarkIdleSession reports the memory that an idle session holds after one
// statement, as the growth of heap and stacks. The callers of the test keep only
// their sockets.
func BenchmarkIdleSession(b *testing.B) {
	const n = 500
	fx := newFixture(b)
	inUse := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	for b.Loop() {
		conns := make([]net.Conn, 0, n)
		before := inUse()
		for range n {
			r := fx.raw(b)
			r.send(&pgproto3.Query{String: "select w from other"})
			r.read(1)
			conns = append(conns, r.conn)
		}
		b.ReportMetric(float64(inUse()-before)/n, "B/session")
		for _, c := range conns {
			_ = c.Close()
		}
	}
}
