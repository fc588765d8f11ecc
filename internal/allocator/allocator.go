package allocator

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/messenger/wire"
)

const (
	// TokenTTL is how long tokens may be used after they were requested. An instance that
	// fails, freezes or is cut off takes none with it for longer.
	TokenTTL = time.Second
	// PollInterval is the longest pause between two requests of an instance without
	// demand; busyPollInterval holds while a team needs all of its refill.
	PollInterval     = time.Second
	busyPollInterval = 200 * time.Millisecond
	// busyTime is how long teams count as in need of refill after one was.
	busyTime = 2 * time.Second
	// memberTTL covers one lost request of an instance without demand.
	memberTTL = 2500 * time.Millisecond
	// maxPools bounds the groups in memory. There is one for each hundred instances.
	maxPools = 64
	// maxElapsed, maxInstances and maxTokens bound the numbers in a request.
	maxElapsed   = time.Second
	maxInstances = 1 << 16
	// believedFactor bounds the size of the fleet that a member reports, in relation to what
	// this instance knows: one wrong report would stop the refill for fleetSizeRetention.
	believedFactor = 4
	maxTokens      = 1 << 16
)

// Config holds what an [Allocator] needs.
type Config struct {
	// Quotas returns the quotas in force; nil until a configuration is known.
	Quotas func() *Quotas
	// Budget is by how much teams may exceed their rates.
	Budget Budget
	// Instances returns the number of listed instances, this one included.
	Instances func() int
	Clock     clockwork.Clock
	Metrics   metrics.Registry
	Log       logrus.FieldLogger
}

// Allocator gives out tokens. Every instance has one; those that are no allocator of a
// group get no requests.
type Allocator struct {
	cfg   Config
	count counters

	mu      sync.Mutex
	stopped bool
	// adopted are the quotas that limits comes from, besides those that were learned.
	adopted *Quotas
	limits  map[string]Limits
	learned map[string]learnedQuota
	pools   map[string]*pool
}

// New returns an allocator without tokens.
func New(cfg Config) *Allocator {
	return &Allocator{cfg: cfg, count: newCounters(cfg.Metrics), learned: map[string]learnedQuota{}, pools: map[string]*pool{}}
}

// Stop makes the allocator decline all requests, so that the members go to the next one.
func (a *Allocator) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
}

// Acquire implements the Quotas service.
func (a *Allocator) Acquire(_ context.Context, in *wire.QuotaRequest) (*wire.QuotaResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Clock.Now()
	if a.stopped || !a.adopt(now) || in.GetInstance() == "" {
		return &wire.QuotaResponse{Declined: true}, nil
	}
	p := a.pool(in.GetGroup(), now)
	if p == nil {
		return &wire.QuotaResponse{Declined: true}, nil
	}
	a.learn(in, now)
	out := p.acquire(in, a.cfg.Instances(), now)
	out.Version = a.adopted.Version()
	a.count.observe(out, len(p.members))
	return out, nil
}

// pool returns the group's pool. It forgets pools without members; nil means that there
// are too many. The caller holds mu.
func (a *Allocator) pool(group string, now time.Time) *pool {
	if p := a.pools[group]; p != nil {
		return p
	}
	for name, p := range a.pools {
		if now.Sub(p.heard) > memberTTL {
			delete(a.pools, name)
		}
	}
	if len(a.pools) >= maxPools {
		return nil
	}
	p := newPool()
	p.adopt(a.limits, now)
	a.pools[group] = p
	a.cfg.Log.WithField("group", group).Info("allocator: instance allocates quotas")
	return p
}

// adopt takes over the quotas in force. It returns false if no configuration is known. The
// caller holds mu.
func (a *Allocator) adopt(now time.Time) bool {
	q := a.cfg.Quotas()
	if q == nil {
		return false
	}
	learned := len(a.learned)
	maps.DeleteFunc(a.learned, func(_ string, l learnedQuota) bool { return !l.counts(q, now) })
	if q == a.adopted && len(a.learned) == learned {
		return true
	}
	a.adopted, a.limits = q, map[string]Limits{}
	for team, quota := range q.All() {
		a.limits[team] = a.cfg.Budget.Limits(quota)
	}
	for team, l := range a.learned {
		a.limits[team] = a.cfg.Budget.Limits(l.Quota)
	}
	for _, p := range a.pools {
		p.adopt(a.limits, now)
	}
	return true
}
