// Package printer writes log lines without ever blocking the writer. Lines
// beyond the buffer or the rate are dropped and counted.
//
// Lines about single requests have a budget of their own. They come by the
// thousand when much fails at once, which is when the others, about what the
// process believes and does, must not be lost.
package printer

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
)

const (
	// bufferedLines absorbs a burst of one kind while the reader of the output is slow.
	bufferedLines = 1024
	// LinesPerSecond bounds the lasting volume of each kind: about 20 KB a second.
	LinesPerSecond = 100
	// burstLines of one kind may follow each other before the rate applies.
	burstLines = 400
	// summaryInterval separates two lines that tell how many were dropped.
	summaryInterval = time.Second
)

// kind is what a line is about.
type kind int

const (
	// processLine lines tell what the process believes and does, and which requests
	// ended with an unknown outcome.
	processLine kind = iota
	// requestLine lines tell how a single request ended.
	requestLine
	kinds
)

// requestField marks the lines of requests; within a value the quotes would be escaped.
var (
	requestField = []byte(`"request":`)
	warning      = []byte(`"level":"warning"`)
	failure      = []byte(`"level":"error"`)
)

func kindOf(line []byte) kind {
	if bytes.Contains(line, requestField) && !bytes.Contains(line, warning) && !bytes.Contains(line, failure) {
		return requestLine
	}
	return processLine
}

// budget bounds the lines of one kind.
type budget struct {
	lines    chan []byte
	tokens   float64
	refilled time.Time
	dropped  metrics.Counter
	reported int64
}

// admit takes a token.
func (b *budget) admit(now time.Time) bool {
	b.tokens = min(b.tokens+now.Sub(b.refilled).Seconds()*LinesPerSecond, burstLines)
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Printer is an [io.Writer] in front of a slow one.
type Printer struct {
	w     io.Writer
	clock clockwork.Clock

	mu      sync.Mutex
	budgets [kinds]*budget
	closed  bool
	// lastSummary is when dropped lines were last told of.
	lastSummary time.Time
	done        chan struct{}
}

// New starts a printer. Dropped lines are counted as "log.dropped" and, of
// requests, as "log.dropped_requests".
func New(w io.Writer, clock clockwork.Clock, r metrics.Registry) *Printer {
	p := &Printer{w: w, clock: clock, done: make(chan struct{})}
	for k, name := range [kinds]string{processLine: "log.dropped", requestLine: "log.dropped_requests"} {
		p.budgets[k] = &budget{
			lines: make(chan []byte, bufferedLines), tokens: burstLines, refilled: clock.Now(), dropped: metrics.GetOrRegisterCounter(name, r),
		}
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
	b := p.budgets[kindOf(line)]
	if p.closed || !b.admit(p.clock.Now()) {
		b.dropped.Inc(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Inc(1)
	}
	return len(line), nil
}

// print writes lines until both kinds are closed, those of beliefs first.
func (p *Printer) print() {
	beliefs, requests := p.budgets[processLine].lines, p.budgets[requestLine].lines
	for beliefs != nil || requests != nil {
		var line []byte
		var ok bool
		select {
		case line, ok = <-beliefs:
			if !ok {
				beliefs = nil
			}
		default:
			select {
			case line, ok = <-beliefs:
				if !ok {
					beliefs = nil
				}
			case line, ok = <-requests:
				if !ok {
					requests = nil
				}
			}
		}
		if ok {
			p.w.Write(line)
		}
		p.summarize(!ok)
	}
}

// summarize tells how many lines were dropped since it last did.
func (p *Printer) summarize(isEnd bool) {
	now := p.clock.Now()
	if !isEnd && now.Sub(p.lastSummary) < summaryInterval {
		return
	}
	b, r := p.budgets[processLine], p.budgets[requestLine]
	beliefs, requests := b.dropped.Count(), r.dropped.Count()
	if beliefs == b.reported && requests == r.reported {
		return
	}
	fmt.Fprintf(p.w, "{\"level\":\"warning\",\"msg\":\"printer: log lines were dropped\",\"lines\":%d,\"lines_of_requests\":%d,\"time\":%q}\n",
		beliefs-b.reported, requests-r.reported, time.Now().UTC().Format(time.RFC3339Nano))
	b.reported, r.reported, p.lastSummary = beliefs, requests, now
}

// Done returns a channel that is closed when everything has been written.
func (p *Printer) Done() <-chan struct{} { return p.done }

// Close ends the printer after the lines that are buffered.
func (p *Printer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	for _, b := range p.budgets {
		close(b.lines)
	}
}
