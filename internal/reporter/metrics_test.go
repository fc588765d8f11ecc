package reporter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Guards against memory that grows with the number of groups and callers, and
// against counts that are lost beyond the limit.
func TestFiguresAreBounded(t *testing.T) {
	registry := metrics.NewRegistry()
	f := NewMetrics(registry)
	const extra = 44
	for i := range maxNames + extra {
		f.Group(fmt.Sprintf("g%d", i)).Connections.Inc(1)
		f.Caller(fmt.Sprintf("c%d", i)).CountRefusal("53300")
	}
	groups, callers := 0, 0
	registry.Each(func(name string, _ any) {
		if strings.HasPrefix(name, "group.") && strings.HasSuffix(name, ".connections") {
			groups++
		}
		if strings.HasPrefix(name, "caller.") && strings.HasSuffix(name, ".refusals.53300") {
			callers++
		}
	})
	if groups != maxNames+1 || callers != maxNames+1 {
		t.Errorf("%d groups and %d callers have metrics, want %d each", groups, callers, maxNames+1)
	}
	if n := f.Group("one more").Connections.Count(); n != extra {
		t.Errorf("the groups beyond the limit count %d, want %d", n, extra)
	}
	if n := f.Group("g1").Connections.Count(); n != 1 {
		t.Errorf("group g1 counts %d, want 1", n)
	}
}

// Guards against durations that are not in the unit of the metric's name, and
// against refusals that are counted under a caller name that was not
// authenticated.
func TestFigures(t *testing.T) {
	registry := metrics.NewRegistry()
	f := NewMetrics(registry)
	f.Group("booking").Confirmation.Add(3 * time.Millisecond)
	if v := registry.Get("group.booking.confirmation_us").(metrics.Histogram).Max(); v != 3000 {
		t.Errorf("3 ms are shown as %d us", v)
	}
	f.CountLoginRefusal("", "28P01")
	f.CountLoginRefusal("portal", "3D000")
	registry.Each(func(name string, _ any) {
		if strings.HasPrefix(name, "caller.") && strings.HasSuffix(name, "28P01") {
			t.Errorf("%s exists", name)
		}
	})
	if n := registry.Get("caller.portal.refusals.3D000").(metrics.Counter).Count(); n != 1 {
		t.Errorf("refusals of portal: %d", n)
	}
}
