package pooler

import (
	"fmt"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
)

func countGauges(r metrics.Registry) int {
	n := 0
	r.Each(func(name string, _ any) {
		if strings.HasPrefix(name, "pooler.") {
			n++
		}
	})
	return n
}

// Guards against gauges of servers that left the manifest. They would show the
// last state forever, and their number would grow with every change.
func TestGaugesLeaveWithServer(t *testing.T) {
	server := startServer(t, "")
	registry := metrics.NewRegistry()
	f := &fixture{}
	startPool(t, f, manifest(entryOf("a", server, 20), entryOf("b", server, 20)), func(c *Config) { c.Registry = registry })
	waitFor(t, "gauges of two servers", func() bool { return countGauges(registry) == 2*len(gaugeNames) })
	f.setCatalog(manifest(entryOf("a", server, 20)))
	waitFor(t, "gauges of one server", func() bool { return countGauges(registry) == len(gaugeNames) })
}

// Guards against memory use that grows with the number of database groups.
func TestGaugesAreBounded(t *testing.T) {
	p := &Pool{groups: make(map[string]*group)}
	for i := range maxGaugedGroups + 10 {
		g := newGroup(p, fmt.Sprint(i))
		g.hasGauges = p.hasRoomForGauges()
		p.groups[g.name] = g
	}
	reported := 0
	for _, g := range p.groups {
		if g.hasGauges {
			reported++
		}
	}
	if reported != maxGaugedGroups {
		t.Errorf("%d groups have gauges, want %d", reported, maxGaugedGroups)
	}
}
