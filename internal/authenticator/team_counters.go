package authenticator

import (
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// maxCountedTeams limits the teams that have counters of their own. The others are counted
// under otherTeams.
const (
	maxCountedTeams = 256
	otherTeams      = "other"
)

// teamCounters has a counter for each team.
type teamCounters struct {
	prefix   string
	registry metrics.Registry

	mu       sync.Mutex
	counters map[string]metrics.Counter
}

// of returns the counter of the team.
func (t *teamCounters) of(team string) metrics.Counter {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.counters[team]; !ok && len(t.counters) >= maxCountedTeams {
		team = otherTeams
	}
	c, ok := t.counters[team]
	if !ok {
		if t.counters == nil {
			t.counters = map[string]metrics.Counter{}
		}
		c = metrics.GetOrRegisterCounter(t.prefix+strings.ReplaceAll(team, ".", "_"), t.registry)
		t.counters[team] = c
	}
	return c
}
