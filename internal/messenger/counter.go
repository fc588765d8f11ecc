package messenger

import (
	"net"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// Names of the metrics that count the bytes between instances, below TLS.
const (
	MetricBytesIn  = "messenger.bytes_in"
	MetricBytesOut = "messenger.bytes_out"
)

// byteCounter counts the bytes of all connections of one server or pool.
type byteCounter struct {
	in, out metrics.Counter
}

func newByteCounter(r metrics.Registry) *byteCounter {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return &byteCounter{
		in:  metrics.GetOrRegisterCounter(MetricBytesIn, r),
		out: metrics.GetOrRegisterCounter(MetricBytesOut, r),
	}
}

func (c *byteCounter) wrap(conn net.Conn) net.Conn { return &countedConn{Conn: conn, counter: c} }

type countedConn struct {
	net.Conn
	counter *byteCounter
	// transferred is the number of bytes in both directions.
	transferred atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.in.Inc(int64(n))
	c.transferred.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.out.Inc(int64(n))
	c.transferred.Add(int64(n))
	return n, err
}

// transferred returns the number of bytes that a connection of a pool has transferred in both
// directions.
func transferred(transport any) int64 {
	if t, ok := transport.(interface{ NetConn() net.Conn }); ok {
		transport = t.NetConn()
	}
	if c, ok := transport.(*countedConn); ok {
		return c.transferred.Load()
	}
	return 0
}
