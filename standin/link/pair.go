package link

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// chunkSize is the largest piece that is read at once.
	chunkSize = 32 << 10
	// queueLength bounds the chunks under way in one direction. At a delay of
	// 50 ms it still lets 2.6 GB/s pass in full chunks.
	queueLength = 4096
)

// pair is one relayed connection.
type pair struct {
	link   Link
	source netip.Addr
	meter  *meter
	ctx    context.Context
	cancel context.CancelFunc
	cond   atomic.Pointer[condition]
	// lost tells in which direction bytes were swallowed.
	lost [2]atomic.Bool
	// ends counts the directions that delivered their end.
	ends atomic.Int32

	mu sync.Mutex
	// conns holds the connection to write to, by direction.
	conns [2]*net.TCPConn
}

// chunk is a piece of a stream on its way.
type chunk struct {
	data []byte
	due  time.Time
	// end is set for the end of the stream: io.EOF for an orderly one.
	end error
}

// run relays a connection to its end.
func (p *pair) run(src *net.TCPConn) {
	defer p.cancel()
	p.mu.Lock()
	p.conns[toSource] = src
	p.mu.Unlock()
	stop := context.AfterFunc(p.ctx, p.closeAll)
	defer stop()
	defer p.closeAll()
	dst, err := p.open()
	if err != nil {
		p.reset()
		return
	}
	p.mu.Lock()
	p.conns[toTarget] = dst
	p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { p.stream(toTarget, src, dst) })
	tasks.Go(func() { p.stream(toSource, dst, src) })
	tasks.Wait()
}

// open connects to the target, as late as a handshake over the link would.
// During a cut in either direction no handshake succeeds, so it waits; the end
// of the cut resets the connection.
func (p *pair) open() (*net.TCPConn, error) {
	for {
		c := p.cond.Load()
		if c.reset {
			return nil, errors.New("reset by rule")
		}
		if !c.freeze && !c.cut[toTarget] && !c.cut[toSource] {
			break
		}
		if c.cut[toTarget] || c.cut[toSource] {
			p.lost[toTarget].Store(true)
			p.lost[toSource].Store(true)
		}
		select {
		case <-c.changed:
		case <-p.ctx.Done():
			return nil, p.ctx.Err()
		}
	}
	if p.lost[toTarget].Load() {
		return nil, errors.New("opened during a cut")
	}
	c := p.cond.Load()
	p.sleep(c.delay[toTarget] + c.delay[toSource])
	d := net.Dialer{Timeout: dialTimeout}
	if p.source.IsLoopback() {
		d.LocalAddr = &net.TCPAddr{IP: p.source.AsSlice()}
	}
	conn, err := d.DialContext(p.ctx, "tcp", p.link.Target)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// sleep waits and reports whether the connection is still open.
func (p *pair) sleep(d time.Duration) bool {
	if d <= 0 {
		return p.ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.ctx.Done():
		return false
	}
}

// thaw waits while the connection is frozen and returns the condition, or nil
// when the connection has closed.
func (p *pair) thaw() *condition {
	for {
		c := p.cond.Load()
		if !c.freeze {
			return c
		}
		select {
		case <-c.changed:
		case <-p.ctx.Done():
			return nil
		}
	}
}

// stream relays one direction.
func (p *pair) stream(d direction, from, to *net.TCPConn) {
	queue := make(chan chunk, queueLength)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(queue)
		p.read(d, from, queue)
	})
	for ch := range queue {
		if !p.deliver(d, ch, to) {
			break
		}
	}
	if p.ctx.Err() == nil && p.ends.Add(1) == 2 {
		p.cancel()
	}
	// An orderly end leaves the other direction open until it ends too.
	<-p.ctx.Done()
	for range queue {
	}
	reader.Wait()
}

// read queues what arrives, with the time at which it is due.
func (p *pair) read(d direction, from *net.TCPConn, queue chan<- chunk) {
	buf := make([]byte, chunkSize)
	var last time.Time
	for {
		n, err := from.Read(buf)
		p.meter.bytes[d].Add(int64(n))
		due := time.Now().Add(p.cond.Load().delay[d])
		if due.Before(last) {
			due = last
		}
		last = due
		ch := chunk{data: append([]byte(nil), buf[:n]...), due: due, end: err}
		select {
		case queue <- ch:
		case <-p.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver writes a chunk when it is due, unless the direction is cut, and
// reports whether more can follow.
func (p *pair) deliver(d direction, ch chunk, to *net.TCPConn) bool {
	if !p.sleep(time.Until(ch.due)) {
		return false
	}
	c := p.thaw()
	switch {
	case c == nil:
		return false
	case c.cut[d]:
		p.lost[d].Store(true)
		if !p.cond.Load().cut[d] {
			p.reset() // The cut ended meanwhile.
			return false
		}
		return true
	case p.lost[d].Load():
		p.reset()
		return false
	}
	if len(ch.data) > 0 {
		if _, err := to.Write(ch.data); err != nil {
			p.reset()
			return false
		}
	}
	switch {
	case ch.end == nil:
		return true
	case errors.Is(ch.end, io.EOF):
		to.CloseWrite()
	default:
		p.reset()
	}
	return false
}

// apply puts another condition in force.
func (p *pair) apply(c *condition) {
	old := p.cond.Swap(c)
	if old != nil {
		close(old.changed)
	}
	healed := p.lost[toTarget].Load() && !c.cut[toTarget] || p.lost[toSource].Load() && !c.cut[toSource]
	if c.reset || healed {
		p.reset()
	}
}

// reset closes both connections with a reset.
func (p *pair) reset() {
	p.mu.Lock()
	for _, conn := range p.conns {
		if conn != nil {
			conn.SetLinger(0)
		}
	}
	p.mu.Unlock()
	p.cancel()
	p.closeAll()
}

func (p *pair) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		if conn != nil {
			conn.Close()
		}
	}
}
