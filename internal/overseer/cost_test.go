package overseer_test

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/messenger"
)

// Measures the network traffic of an instance that follows one group, and the
// CPU time of the idle cluster of three instances and three stand-ins. Guards
// against a watch loop that runs without waiting.
func TestIdleCost(t *testing.T) {
	c := newCluster(t)
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

// Measures the CPU time of the whole process (three instances, three stand-ins)
// while commits wait for replicas that store records 50 ms late. Guards against a
// monitor that probes without pause meanwhile.
func TestBusyCost(t *testing.T) {
	c := newCluster(t)
	for _, i := range c.instances {
		c.awaitPrimary(i, "s1", 1)
	}
	c.exec("s1", "create table entries (id int primary key)")
	for _, s := range c.servers {
		s.SetStoreDelay(50 * time.Millisecond)
	}
	cpu, probes, startedAt := cpuTime(t), c.probes.Load(), time.Now()
	var took []time.Duration
	for n := range 20 {
		p := c.exec("s1", fmt.Sprintf("insert into entries values (%d)", n))
		took = append(took, c.mustConfirm(c.instances[1], p, false))
	}
	share := float64(cpuTime(t)-cpu) / float64(time.Since(startedAt))
	rate := float64(c.probes.Load()-probes) / time.Since(startedAt).Seconds() / float64(len(c.servers))
	slices.Sort(took)
	t.Logf("confirmed in p50 %v, max %v; whole process: %.2f %% of a core", took[len(took)/2], took[len(took)-1], 100*share)
	t.Logf("%.0f probes per second and server", rate)
	if rate > 400 {
		t.Errorf("%.0f probes per second and server, more than 400", rate)
	}
}
