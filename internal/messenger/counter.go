package messenger

import (
	"net"

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
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.in.Inc(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.out.Inc(int64(n))
	return n, err
}
