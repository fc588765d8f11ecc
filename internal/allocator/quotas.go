package allocator

import (
	"iter"
	"maps"
	"sync"
)

// Quota is what a team may run, over all instances.
type Quota struct {
	// RatePerSecond is how many operations the team may begin in a second; 0 means no limit.
	RatePerSecond float64
	// Burst is how many operations more it may begin in the window of the [Budget].
	Burst float64
}

// Quotas are the quotas of one configuration by team. They are not changed; another
// configuration has others. The zero value has none.
type Quotas struct {
	byTeam  map[string]Quota
	version int64
}

// NewQuotas returns the quotas of the teams that have a rate.
func NewQuotas(byTeam map[string]Quota) *Quotas {
	q := &Quotas{byTeam: maps.Clone(byTeam)}
	maps.DeleteFunc(q.byTeam, func(_ string, quota Quota) bool { return quota.RatePerSecond <= 0 })
	return q
}

// WithVersion returns the quotas with the version of their configuration. A configuration with
// a larger version replaces one with a smaller; 0, which is the default, tells nothing.
func (q *Quotas) WithVersion(version int64) *Quotas {
	return &Quotas{byTeam: q.byTeam, version: version}
}

// Version returns the version of the configuration.
func (q *Quotas) Version() int64 {
	if q == nil {
		return 0
	}
	return q.version
}

// Of returns the team's quota; false if it has none or no configuration is known.
func (q *Quotas) Of(team string) (Quota, bool) {
	if q == nil {
		return Quota{}, false
	}
	quota, ok := q.byTeam[team]
	return quota, ok
}

// All returns the teams with quotas.
func (q *Quotas) All() iter.Seq2[string, Quota] {
	if q == nil {
		return maps.All(map[string]Quota(nil))
	}
	return maps.All(q.byTeam)
}

// Source gives the quotas of configurations of type C. It keeps those of the last one,
// because quotas are looked up for each operation.
type Source[C any] struct {
	derive func(*C) *Quotas

	mu     sync.RWMutex
	from   *C
	quotas *Quotas
}

// NewSource returns a source. Derive returns the quotas of a configuration.
func NewSource[C any](derive func(*C) *Quotas) *Source[C] { return &Source[C]{derive: derive} }

// Quotas returns the quotas of the configuration; nil for a nil one, which means that none is
// known.
func (s *Source[C]) Quotas(c *C) *Quotas {
	if c == nil {
		return nil
	}
	s.mu.RLock()
	from, quotas := s.from, s.quotas
	s.mu.RUnlock()
	if from == c {
		return quotas
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.from != c {
		s.from, s.quotas = c, s.derive(c)
	}
	return s.quotas
}
