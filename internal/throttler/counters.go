package throttler

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

const (
	// maxCountedTeams bounds the teams with counters of their own; the others share some.
	maxCountedTeams = 256
	// otherTeams is the name of the shared ones.
	otherTeams = "other"
	// summaryInterval is the least time between two lines about a team's refusals.
	summaryInterval = time.Second
)

// counters count admitted and refused operations by team.
type counters struct {
	requests      metrics.Counter
	alone, tokens metrics.Gauge
	registry      metrics.Registry
	log           logrus.FieldLogger

	mu     sync.Mutex
	byTeam map[string]*teamCounter
	// isAlone and held have the state of each group.
	isAlone map[string]bool
	held    map[string]int
}

// teamCounter counts the operations of a team.
type teamCounter struct {
	admitted, refused metrics.Counter
	// logged is when refusals were last logged, and since the number of refusals from then.
	logged time.Time
	since  int
}

func newCounters(r metrics.Registry, log logrus.FieldLogger) *counters {
	return &counters{
		requests: metrics.GetOrRegisterCounter("throttler.requests", r), alone: metrics.GetOrRegisterGauge("throttler.alone", r),
		tokens: metrics.GetOrRegisterGauge("throttler.tokens", r), registry: r, log: log,
		byTeam: map[string]*teamCounter{}, isAlone: map[string]bool{}, held: map[string]int{},
	}
}

// team returns the team's counter. The caller holds mu.
func (c *counters) team(name string) *teamCounter {
	if t := c.byTeam[name]; t != nil {
		return t
	}
	if len(c.byTeam) >= maxCountedTeams {
		name = otherTeams
	}
	if t := c.byTeam[name]; t != nil {
		return t
	}
	t := &teamCounter{
		admitted: metrics.GetOrRegisterCounter("throttler.admitted."+name, c.registry),
		refused:  metrics.GetOrRegisterCounter("throttler.refused."+name, c.registry),
	}
	c.byTeam[name] = t
	return t
}

// record counts an operation; refusal is nil if it was admitted. Refusals of a team are
// logged together.
func (c *counters) record(team string, refusal *Refusal, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.team(team)
	if refusal == nil {
		t.admitted.Inc(1)
		return
	}
	t.refused.Inc(1)
	t.since++
	if now.Sub(t.logged) < summaryInterval {
		return
	}
	c.log.WithFields(logrus.Fields{"team": team, "reason": refusal.Reason, "refused": t.since, "retry_after": refusal.After.String()}).
		Info("throttler: operations are refused")
	t.logged, t.since = now, 0
}

// setAlone records whether no allocator of the group is reached.
func (c *counters) setAlone(group string, isAlone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isAlone[group] = isAlone
	c.update()
}

// setTokens records the number of tokens of the group.
func (c *counters) setTokens(group string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[group] = n
	c.update()
}

// forget removes a group whose link has ended.
func (c *counters) forget(group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.isAlone, group)
	delete(c.held, group)
	c.update()
}

// update sets the gauges. The caller holds mu.
func (c *counters) update() {
	alone, tokens := int64(0), int64(0)
	for _, isAlone := range c.isAlone {
		if isAlone {
			alone = 1
		}
	}
	for _, n := range c.held {
		tokens += int64(n)
	}
	c.alone.Update(alone)
	c.tokens.Update(tokens)
}
