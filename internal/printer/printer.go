// Package printer writes log lines without ever blocking the writer. Lines
// beyond the buffer or the rate are dropped and counted.
package printer

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
)

const (
	// bufferedLines absorbs a burst while the reader of the output is slow.
	bufferedLines = 1024
	// LinesPerSecond bounds the lasting volume: about 20 KB a second.
	LinesPerSecond = 100
	// burstLines may follow each other before the rate applies.
	burstLines = 400
)

// Printer is an [io.Writer] in front of a slow one.
type Printer struct {
	w       io.Writer
	clock   clockwork.Clock
	lines   chan []byte
	dropped metrics.Counter

	mu       sync.Mutex
	tokens   float64
	refilled time.Time
	closed   bool
	done     chan struct{}
}

// New starts a printer. Dropped lines are counted as "log.dropped".
func New(w io.Writer, clock clockwork.Clock, r metrics.Registry) *Printer {
	p := &Printer{
		w: w, clock: clock, lines: make(chan []byte, bufferedLines), tokens: burstLines, refilled: clock.Now(),
		dropped: metrics.GetOrRegisterCounter("log.dropped", r), done: make(chan struct{}),
	}
	go func() {
		defer close(p.done)
		p.print()
	}()
	return p
}

// Write implements [io.Writer]. It always succeeds.
func (p *Printer) Write(line []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !p.admit() {
		p.dropped.Inc(1)
		return len(line), nil
	}
	select {
	case p.lines <- append([]byte(nil), line...):
	default:
		p.dropped.Inc(1)
	}
	return len(line), nil
}

// admit takes a token. The caller holds mu.
func (p *Printer) admit() bool {
	now := p.clock.Now()
	p.tokens = min(p.tokens+now.Sub(p.refilled).Seconds()*LinesPerSecond, burstLines)
	p.refilled = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// print writes lines and, after a gap, how many were dropped in it.
func (p *Printer) print() {
	reported := int64(0)
	for line := range p.lines {
		p.w.Write(line)
		if n := p.dropped.Count(); n != reported && len(p.lines) == 0 {
			fmt.Fprintf(p.w, "{\"level\":\"warning\",\"msg\":\"printer: log lines were dropped\",\"lines\":%d}\n", n-reported)
			reported = n
		}
	}
}

// Done returns a channel that is closed when everything has been written.
func (p *Printer) Done() <-chan struct{} { return p.done }

// Close ends the printer after the lines that are buffered.
func (p *Printer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		close(p.lines)
	}
}
