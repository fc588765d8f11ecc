// Package printer writes log lines without ever blocking the caller. Lines beyond the
// buffer or the rate limit are dropped and counted.
//
// There are three kinds of lines, each with a buffer and a rate limit of its own.
// Request lines tell how single requests ended. They come by the thousand when much
// fails at once, which is when process lines, about the known state and the actions
// of the process, must not be lost. Change lines are the process lines about a change
// of primary; they are written first. Lines are text in the format of logrus's JSON
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
	// burstLines of one kind may be written at once before the rate limit applies, and
	// burstOfChanges change lines: many services may lose their primary at once.
	burstLines     = 400
	burstOfChanges = bufferedLines
	// summaryInterval is the least time between two lines that report dropped ones.
	summaryInterval = time.Second
)

// kind is what a line is about.
type kind int

// The kinds in the order in which they are written.
const (
	// changeLine is a line about a change of primary.
	changeLine kind = iota
	// processLine is a line about the known state and the actions of the process, or
	// about a request that ended with a warning, such as an unknown outcome.
	processLine
	// requestLine is any other line about a single request.
	requestLine
	kinds
)

// Fields by which the kind is recognized. Within a value the quotes would be escaped.
var (
	changeField  = []byte(`"change":`)
	requestField = []byte(`"request":`)
	warning      = []byte(`"level":"warning"`)
	failure      = []byte(`"level":"error"`)
)

func kindOf(line []byte) kind {
	if bytes.Contains(line, changeField) {
		return changeLine
	}
	if bytes.Contains(line, requestField) && !bytes.Contains(line, warning) && !bytes.Contains(line, failure) {
		return requestLine
	}
	return processLine
}

// budget is the buffer and the rate limit of one kind, a token bucket.
type budget struct {
	lines    chan []byte
	tokens   float64
	burst    float64
	refilled time.Time
	dropped  metrics.Counter
	reported int64
}

// admit takes a token; false if there is none.
func (b *budget) admit(now time.Time) bool {
	b.tokens = min(b.tokens+now.Sub(b.refilled).Seconds()*LinesPerSecond, b.burst)
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
// "log.dropped", dropped request lines as "log.dropped_requests", and dropped change
// lines as "log.dropped_changes".
func New(w io.Writer, clock clockwork.Clock, r metrics.Registry) *Printer {
	p := &Printer{w: w, clock: clock, done: make(chan struct{})}
	for k, name := range [kinds]string{changeLine: "log.dropped_changes", processLine: "log.dropped", requestLine: "log.dropped_requests"} {
		p.budgets[k] = &budget{
			lines: make(chan []byte, bufferedLines), tokens: burstLines, burst: burstLines, refilled: clock.Now(), dropped: metrics.GetOrRegisterCounter(name, r),
		}
	}
	p.budgets[changeLine].tokens, p.budgets[changeLine].burst = burstOfChanges, burstOfChanges
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

// print writes lines until all buffers are closed and empty.
func (p *Printer) print() {
	var open [kinds]<-chan []byte
	for k, b := range p.budgets {
		open[k] = b.lines
	}
	for open != [kinds]<-chan []byte{} {
		k, line, ok := next(&open)
		if ok {
			p.w.Write(line)
		} else {
			open[k] = nil
		}
		p.summarize(!ok)
	}
}

// next returns the next line of the first kind that has one. It waits if there is none.
// It returns false if the kind's buffer is closed and empty.
func next(open *[kinds]<-chan []byte) (k kind, line []byte, ok bool) {
	for k := range kinds {
		select {
		case line, ok := <-open[k]:
			return k, line, ok
		default:
		}
	}
	select {
	case line, ok = <-open[changeLine]:
		return changeLine, line, ok
	case line, ok = <-open[processLine]:
		return processLine, line, ok
	case line, ok = <-open[requestLine]:
		return requestLine, line, ok
	}
}

// summarize writes a line with the number of lines dropped since the last one, if
// there are any. It does nothing within summaryInterval unless isEnd is true.
func (p *Printer) summarize(isEnd bool) {
	now := p.clock.Now()
	if !isEnd && now.Sub(p.lastSummary) < summaryInterval {
		return
	}
	var dropped [kinds]int64
	total := int64(0)
	for k, b := range p.budgets {
		dropped[k] = b.dropped.Count() - b.reported
		total += dropped[k]
	}
	if total == 0 {
		return
	}
	fmt.Fprintf(p.w, "{\"level\":\"warning\",\"msg\":\"printer: log lines were dropped\",\"lines\":%d,\"lines_of_requests\":%d,\"lines_of_changes\":%d,\"time\":%q}\n",
		dropped[processLine], dropped[requestLine], dropped[changeLine], time.Now().UTC().Format(time.RFC3339Nano))
	for k, b := range p.budgets {
		b.reported += dropped[k]
	}
	p.lastSummary = now
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
