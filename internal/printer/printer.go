// Package printer writes log lines without ever blocking the caller. Lines beyond the
// buffer or the rate limit are dropped and counted.
//
// There are two kinds of lines, each with a buffer and a rate limit of its own.
// Request lines tell how single requests ended. They come by the thousand when much
// fails at once, which is when process lines, about the known state and the actions
// of the process, must not be lost. Lines are text in the format of logrus's JSON
// formatter; the kind is recognized by their fields.
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
	// bufferedLines of one kind are kept while the reader of the output is slow.
	bufferedLines = 1024
	// LinesPerSecond limits the lasting rate of each kind, to about 20 KB a second.
	LinesPerSecond = 100
	// burstLines of one kind may be written at once before the rate limit applies.
	burstLines = 400
	// summaryInterval is the least time between two lines that report dropped ones.
	summaryInterval = time.Second
)

// kind is what a line is about.
type kind int

const (
	// processLine is a line about the known state and the actions of the process, or
	// about a request that ended with a warning, such as an unknown outcome.
	processLine kind = iota
	// requestLine is any other line about a single request.
	requestLine
	kinds
)

// Fields by which the kind is recognized. Within a value the quotes would be escaped.
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

// budget is the buffer and the rate limit of one kind, a token bucket.
type budget struct {
	lines    chan []byte
	tokens   float64
	refilled time.Time
	dropped  metrics.Counter
	reported int64
}

// admit takes a token; false if there is none.
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

// Printer is an [io.Writer] that buffers lines for a slow one.
type Printer struct {
	w     io.Writer
	clock clockwork.Clock

	mu      sync.Mutex
	budgets [kinds]*budget
	closed  bool
	// lastSummary is when dropped lines were last reported.
	lastSummary time.Time
	done        chan struct{}
}

// New starts a printer that writes to w. Dropped process lines are counted as
// "log.dropped", dropped request lines as "log.dropped_requests".
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

// Write implements [io.Writer]. The line must be complete. It always succeeds.
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

// print writes lines, process lines first, until both buffers are closed and empty.
func (p *Printer) print() {
	processLines, requestLines := p.budgets[processLine].lines, p.budgets[requestLine].lines
	for processLines != nil || requestLines != nil {
		var line []byte
		var ok bool
		select {
		case line, ok = <-processLines:
			if !ok {
				processLines = nil
			}
		default:
			select {
			case line, ok = <-processLines:
				if !ok {
					processLines = nil
				}
			case line, ok = <-requestLines:
				if !ok {
					requestLines = nil
				}
			}
		}
		if ok {
			p.w.Write(line)
		}
		p.summarize(!ok)
	}
}

// summarize writes a line with the number of lines dropped since the last one, if
// there are any. It does nothing within summaryInterval unless isEnd is true.
func (p *Printer) summarize(isEnd bool) {
	now := p.clock.Now()
	if !isEnd && now.Sub(p.lastSummary) < summaryInterval {
		return
	}
	process, request := p.budgets[processLine], p.budgets[requestLine]
	processDropped, requestsDropped := process.dropped.Count(), request.dropped.Count()
	if processDropped == process.reported && requestsDropped == request.reported {
		return
	}
	fmt.Fprintf(p.w, "{\"level\":\"warning\",\"msg\":\"printer: log lines were dropped\",\"lines\":%d,\"lines_of_requests\":%d,\"time\":%q}\n",
		processDropped-process.reported, requestsDropped-request.reported, time.Now().UTC().Format(time.RFC3339Nano))
	process.reported, request.reported, p.lastSummary = processDropped, requestsDropped, now
}

// Done returns a channel that is closed when all buffered lines have been written
// after Close.
func (p *Printer) Done() <-chan struct{} { return p.done }

// Close ends the printer after the buffered lines. Later lines are dropped.
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
