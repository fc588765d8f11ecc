package enroller

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/messenger"
)

// TestMeasureHeartbeats prints the cost of heartbeats per member if
// MARIGOLD_MEASURE is set.
func TestMeasureHeartbeats(t *testing.T) {
	if os.Getenv("MARIGOLD_MEASURE") == "" {
		t.Skip("MARIGOLD_MEASURE is not set")
	}
	const window = 5 * time.Second
	for _, n := range []int{2, 4, 8, 16} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			nodes := startCluster(t, n)
			time.Sleep(time.Second)
			bytes := func() (total int64) {
				for _, n := range nodes {
					for _, name := range []string{messenger.MetricBytesIn, messenger.MetricBytesOut} {
						total += metrics.GetOrRegisterCounter(name, n.registry).Count()
					}
				}
				return total
			}
			b, cpu := bytes(), cpuTime(t)
			time.Sleep(window)
			perMember := float64(n) * window.Seconds()
			fmt.Printf("members=%d bytes_per_s_per_member=%.0f cpu_percent_per_member=%.3f\n",
				n, float64(bytes()-b)/perMember, 100*(cpuTime(t)-cpu).Seconds()/perMember)
		})
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
