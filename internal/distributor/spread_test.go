package distributor

import (
	"slices"
	"testing"
	"time"
)

// BenchmarkSpread measures the time from the second approval's response until
// the revision is active at seven instances in three zones, and the watch
// events that the store sends per revision.
func BenchmarkSpread(b *testing.B) {
	for _, mode := range []Mode{ZoneWatcher, EveryInstanceWatches} {
		b.Run(string(mode), func(b *testing.B) {
			c := newCluster(b)
			c.mode = mode
			c.interval = time.Second
			c.activateGenesis()
			c.activate("a", content("a", "a", 10))
			c.start("z1", "z1", "z2", "z2", "z3", "z3", "z3")
			c.wait("ready", func(n *node) bool { ready, _ := n.Ready(); return ready })
			var times []time.Duration
			events := c.platform.Counts().WatchEvents
			limit := 10
			for b.Loop() {
				limit++
				e := c.activate("a", content("a", "a", limit))
				began := time.Now()
				c.wait("active revision", func(n *node) bool { return n.revision("a") == e.Revision })
				times = append(times, time.Since(began))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
			b.ReportMetric(float64(c.platform.Counts().WatchEvents-events)/float64(len(times)), "watch-events/revision")
		})
	}
}
