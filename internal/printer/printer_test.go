package printer_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/printer"
)

// stuck is an output whose reader has stopped: writes block until goOn is closed.
type stuck struct {
	goOn chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.goOn
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

// Guards against requests that block on a full pipe: lines must be dropped and
// counted instead.
func TestStoppedReaderDoesNotBlock(t *testing.T) {
	w := &stuck{goOn: make(chan struct{})}
	r := metrics.NewRegistry()
	clock := clockwork.NewFakeClock()
	p := printer.New(w, clock, r)
	written := make(chan struct{})
	const lines = 5000
	go func() {
		for i := range lines {
			fmt.Fprintf(p, "line %d\n", i)
			clock.Advance(20 * time.Millisecond)
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("writing blocks while the reader of the output has stopped")
	}
	dropped := metrics.GetOrRegisterCounter("log.dropped", r).Count()
	if dropped == 0 || dropped >= lines {
		t.Errorf("%d of %d lines dropped", dropped, lines)
	}
	close(w.goOn)
	p.Close()
	<-p.Done()
	w.mu.Lock()
	defer w.mu.Unlock()
	if got := int64(strings.Count(w.buf.String(), "line ")) + dropped; got < lines {
		t.Errorf("%d lines written or counted, want %d", got, lines)
	}
	if !strings.Contains(w.buf.String(), "log lines were dropped") {
		t.Error("no line reports that lines were dropped")
	}
}

// Guards against a log volume that grows with the load.
func TestVolumeIsBounded(t *testing.T) {
	var buf bytes.Buffer
	clock := clockwork.NewFakeClock()
	p := printer.New(&buf, clock, metrics.NewRegistry())
	const seconds, perSecond = 20, 1000
	for range seconds * perSecond {
		fmt.Fprintln(p, "line")
		clock.Advance(time.Second / perSecond)
	}
	p.Close()
	<-p.Done()
	if n := strings.Count(buf.String(), "line\n"); n > 400+seconds*printer.LinesPerSecond+1 {
		t.Errorf("%d lines in %d s", n, seconds)
	}
}

// Guards against lines about thousands of refused requests that displace the lines
// which explain the refusals, such as those of a change of primary while the store
// is down.
func TestRequestLinesLeaveRoomForProcessLines(t *testing.T) {
	var buf bytes.Buffer
	clock := clockwork.NewFakeClock()
	r := metrics.NewRegistry()
	p := printer.New(&buf, clock, r)
	const seconds, refusals = 5, 10000
	want := 0
	for range seconds {
		for i := range refusals {
			fmt.Fprintf(p, "{\"level\":\"info\",\"msg\":\"request is refused\",\"request\":\"r%d\"}\n", i)
			clock.Advance(time.Second / refusals)
			if i%(refusals/20) == 0 {
				want++
				fmt.Fprintf(p, "{\"level\":\"info\",\"msg\":\"command was confirmed\",\"text\":\"\\\"request\\\":\"}\n")
				fmt.Fprintf(p, "{\"level\":\"warning\",\"msg\":\"outcome is unknown\",\"request\":\"u%d\"}\n", i)
			}
		}
	}
	p.Close()
	<-p.Done()
	out := buf.String()
	if n := strings.Count(out, "command was confirmed"); n != want {
		t.Errorf("%d of %d process lines were written", n, want)
	}
	if n := strings.Count(out, "outcome is unknown"); n != want {
		t.Errorf("%d of %d requests with an unknown outcome were written", n, want)
	}
	written, dropped := int64(strings.Count(out, "request is refused")), metrics.GetOrRegisterCounter("log.dropped_requests", r).Count()
	if written+dropped != seconds*refusals || written > 400+(seconds+1)*printer.LinesPerSecond {
		t.Errorf("%d request lines written, %d counted as dropped", written, dropped)
	}
	if n := strings.Count(out, "log lines were dropped"); n < 1 || n > seconds+2 {
		t.Errorf("%d lines report dropped ones", n)
	}
}
