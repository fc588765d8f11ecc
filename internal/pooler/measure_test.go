package pooler

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/checker"
)

func BenchmarkAcquireRelease(b *testing.B) {
	s := startServer(b, "secret")
	p := startPool(b, &fixture{grants: map[string]int{"a": 4}}, manifest(entryOf("a", s, 20)), nil)
	b.ReportAllocs()
	for b.Loop() {
		acquire(b, p, Write).Release()
	}
}

// TestMeasureIdleMemory prints the memory of an idle server connection when
// MARIGOLD_MEASURE is set. The figure includes the scripted server's side.
func TestMeasureIdleMemory(t *testing.T) {
	if os.Getenv("MARIGOLD_MEASURE") == "" {
		t.Skip("MARIGOLD_MEASURE is not set")
	}
	const n = 1000
	s := startServer(t, "secret")
	f := &fixture{grants: map[string]int{"a": n}}
	p := startPool(t, f, manifest(entryOf("a", s, n+ReservedConnections)), nil)
	waitFor(t, "the grant", func() bool { return statsOf(p, "a").Allowance == n })
	acquire(t, p, Write).Release()
	before := heap()
	var conns []Conn
	for range n {
		conns = append(conns, acquire(t, p, Write))
	}
	for _, c := range conns {
		c.Release()
	}
	conns = nil
	fmt.Printf("idle_connections=%d bytes_per_connection_both_ends=%d goroutines=%d\n",
		statsOf(p, "a").Open, (heap()-before)/n, runtime.NumGoroutine())
}

// TestMeasureIdlePool prints the CPU of a pool without requests when
// MARIGOLD_MEASURE is set.
func TestMeasureIdlePool(t *testing.T) {
	if os.Getenv("MARIGOLD_MEASURE") == "" {
		t.Skip("MARIGOLD_MEASURE is not set")
	}
	const servers, window = 9, 5 * time.Second
	s := startServer(t, "secret")
	var entries []checker.Server
	grants := map[string]int{}
	for i := range servers {
		name := string(rune('a' + i))
		entries = append(entries, entryOf(name, s, 20))
		grants[name] = 4
	}
	p := startPool(t, &fixture{grants: grants}, manifest(entries...), nil)
	acquire(t, p, Write).Release()
	time.Sleep(time.Second)
	before := cpuTime(t)
	time.Sleep(window)
	fmt.Printf("servers=%d idle_pool_cpu_percent=%.3f\n", servers, 100*(cpuTime(t)-before).Seconds()/window.Seconds())
}

func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
