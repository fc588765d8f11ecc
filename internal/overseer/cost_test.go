package overseer_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/messenger"
)

// Measures what following one group costs an instance on the wire, and what
// the idle cell of three instances and three stand-ins costs in CPU time.
// Guards against a watch loop that spins.
func TestIdleCost(t *testing.T) {
	c := newCell(t)
	registry := c.registries[1]
	for _, i := range c.instances {
		c.awaitPrimary(i, "s1", 1)
	}
	time.Sleep(300 * time.Millisecond)
	bytes := func() int64 {
		in := metrics.GetOrRegisterCounter(messenger.MetricBytesIn, registry)
		out := metrics.GetOrRegisterCounter(messenger.MetricBytesOut, registry)
		return in.Count() + out.Count()
	}
	before, cpu := bytes(), cpuTime(t)
	const span = 2 * time.Second
	time.Sleep(span)
	n := (bytes() - before) / int64(span/time.Second)
	share := float64(cpuTime(t)-cpu) / float64(span)
	t.Logf("following one group: %d bytes/s; whole process: %.2f %% of a core", n, 100*share)
	if n > 2000 {
		t.Errorf("following one idle group takes %d bytes/s", n)
	}
}

func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
