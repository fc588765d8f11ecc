package reconciler

import (
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/connector"
)

const (
	// maxCountedTeams bounds the teams with a counter of their own; the others share one.
	maxCountedTeams = 256
	// otherTeams is the name of the shared one.
	otherTeams = "other"
)

// orderCounters count what becomes of the requests that wait for slots at this instance.
type orderCounters struct {
	registry metrics.Registry
	// late are requests that got a slot too late to be answered in time. The others got
	// none: their wait ended, others had more use for a slot, or their callers left.
	late, timedOut, evicted, left metrics.Counter

	mu sync.Mutex
	// slotTime is the slot time of each team in microseconds.
	slotTime map[string]metrics.Counter
}

func newOrderCounters(r metrics.Registry) *orderCounters {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("dispatcher.slots."+name, r) }
	return &orderCounters{
		registry: r, late: c("late"), timedOut: c("timed_out"), evicted: c("evicted"), left: c("caller_left"), slotTime: map[string]metrics.Counter{},
	}
}

// addSlotTime counts slot time of a team.
func (c *orderCounters) addSlotTime(team string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counter := c.slotTime[team]
	if counter == nil && len(c.slotTime) >= maxCountedTeams {
		team = otherTeams
		counter = c.slotTime[team]
	}
	if counter == nil {
		counter = metrics.GetOrRegisterCounter("dispatcher.slots.time_us."+strings.ReplaceAll(team, ".", "_"), c.registry)
		c.slotTime[team] = counter
	}
	counter.Inc(took.Microseconds())
}

// recordUse counts what became of the requests that waited for slots of the server since
// the last call, and logs it if any was refused or late.
func (r *Reconciler) recordUse(b *connector.Backend) {
	u := b.Limiter.TakeUse()
	c := r.order
	c.late.Inc(int64(u.Late))
	c.timedOut.Inc(int64(u.TimedOut))
	c.evicted.Inc(int64(u.Evicted))
	c.left.Inc(int64(u.Left))
	most, longest := "", time.Duration(0)
	for team, took := range u.SlotTime {
		c.addSlotTime(team, took)
		if took > longest {
			most, longest = team, took
		}
	}
	if u.Late+u.TimedOut+u.Evicted+u.Left == 0 {
		return
	}
	fields := logrus.Fields{
		"server": b.ID, "late": u.Late, "timed_out": u.TimedOut, "evicted": u.Evicted, "caller_left": u.Left, "waiting": b.Limiter.Waiting(),
		"teams": len(u.SlotTime), "most_slot_time": longest.String(),
	}
	if most != "" {
		fields["team"] = most
	}
	r.cfg.Log.WithFields(fields).Info("dispatcher: requests waited for a slot in vain or too long")
}
