package throttler

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/allocator"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/placer"
)

const (
	// patienceDivisor sets how long an operation may wait for a token: its objective
	// divided by it. The rest is for running the operation.
	patienceDivisor = 4
	// minPatience and maxPatience bound that wait.
	minPatience = 20 * time.Millisecond
	maxPatience = 100 * time.Millisecond
)

// Client sends requests to allocators.
type Client interface {
	// Acquire sends the request to the instance, which may be this one. An error that
	// wraps [marigoldhub.example/hub/internal/messenger.ErrNotConnected] means that nothing
	// was sent.
	Acquire(ctx context.Context, p placer.Peer, in *wire.QuotaRequest) (*wire.QuotaResponse, error)
}

// QuotaSource gives the quotas in force.
type QuotaSource interface {
	// Quotas returns the same value until they change; nil until a configuration is known.
	Quotas() *allocator.Quotas
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Config holds what a [Throttler] needs.
type Config struct {
	// Instance is the name of this instance.
	Instance string
	Quotas   QuotaSource
	// Budget is by how much teams may exceed their rates.
	Budget allocator.Budget
	// Instances returns all listed instances, this one included. InstancesKnown reports
	// whether they were listed at least once. InstancesChanged returns a channel that is
	// closed at the next change of the list.
	Instances func() []placer.Peer
	// FleetSize returns how many instances may serve callers, if that may be more than those
	// listed; nil means that it is not.
	FleetSize        func() int
	InstancesKnown   func() bool
	InstancesChanged func() <-chan struct{}
	Client           Client
	Clock            clockwork.Clock
	Metrics          metrics.Registry
	Log              logrus.FieldLogger
}

// Throttler admits the operations of teams until it is closed.
type Throttler struct {
	started time.Time
	cfg     Config
	count   *counters

	mu sync.RWMutex
	// links are keyed by group. There are none without quotas.
	links map[string]*link
	// fleet and size are the number of instances, from which the groups follow.
	fleet allocator.FleetSize
	size  int
	// adopted are the quotas from which links were made.
	adopted *allocator.Quotas

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// New starts a throttler.
func New(cfg Config) *Throttler {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Throttler{cfg: cfg, started: cfg.Clock.Now(), count: newCounters(cfg.Metrics, cfg.Log), links: map[string]*link{}, ctx: ctx, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(t.done)
		t.run()
	}()
	return t
}

// Done returns a channel that is closed when the throttler has stopped.
func (t *Throttler) Done() <-chan struct{} { return t.done }

// Close stops the throttler.
func (t *Throttler) Close() {
	t.cancel()
	<-t.done
}

// run keeps the links up to date.
func (t *Throttler) run() {
	for {
		changed, instancesChanged := t.cfg.Quotas.Changed(), t.cfg.InstancesChanged()
		t.adopt()
		select {
		case <-changed:
		case <-instancesChanged:
		case <-t.ctx.Done():
			t.mu.Lock()
			links := t.links
			t.links = map[string]*link{}
			t.mu.Unlock()
			for _, l := range links {
				l.close()
			}
			return
		}
	}
}

// adopt opens and closes links as the configuration and the list of instances require.
func (t *Throttler) adopt() {
	quotas := t.cfg.Quotas.Quotas()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	t.adopted = quotas
	t.size = t.fleet.Observe(t.sizeOf(t.cfg.Instances()), t.cfg.Clock.Now())
	groups := map[string]bool{}
	for team := range quotas.All() {
		groups[groupOf(team, t.size)] = true
	}
	for group := range groups {
		if t.links[group] == nil {
			t.links[group] = t.newLink(group)
		}
	}
	for group, l := range t.links {
		if !groups[group] {
			delete(t.links, group)
			go l.close()
			continue
		}
		l.adopt(quotas)
	}
}

// sizeOf returns the number of instances when those are listed.
func (t *Throttler) sizeOf(listed []placer.Peer) int {
	if t.cfg.FleetSize == nil {
		return len(listed)
	}
	return max(len(listed), t.cfg.FleetSize())
}

// linkOf returns the link of the team's group; nil after Close.
func (t *Throttler) linkOf(team string, quotas *allocator.Quotas) *link {
	t.mu.RLock()
	l, isCurrent := t.links[groupOf(team, t.size)], t.adopted == quotas
	t.mu.RUnlock()
	if l != nil || isCurrent {
		return l
	}
	t.adopt()
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.links[groupOf(team, t.size)]
}

// Admit takes an operation from the team's quota. It may wait for a token, but only for a
// part of the time until the deadline. Its error is a [*Refusal]. All operations of the team
// are equal; see [Throttler.AdmitPriority].
func (t *Throttler) Admit(team string, deadline time.Time) (Operation, error) {
	return t.AdmitPriority(team, 0, deadline)
}

// AdmitPriority is Admit for an operation of the priority; lower numbers are more urgent. While
// the team is short of tokens, its urgent operations go first.
func (t *Throttler) AdmitPriority(team string, priority int, deadline time.Time) (Operation, error) {
	if team == "" {
		return Operation{}, nil
	}
	quotas := t.cfg.Quotas.Quotas()
	quota, ok := quotas.Of(team)
	if !ok {
		return Operation{}, nil
	}
	l := t.linkOf(team, quotas)
	if l == nil {
		return Operation{}, &Refusal{Reason: noAllocator, After: maxPatience}
	}
	now := t.cfg.Clock.Now()
	patience := min(max(deadline.Sub(now)/patienceDivisor, minPatience), maxPatience)
	o := l.admit(team, priority, t.cfg.Budget.Limits(quota), quotas.Version(), now, now.Add(patience))
	t.count.record(team, o.refusal, now)
	if o.refusal != nil {
		return Operation{}, o.refusal
	}
	beginBefore := o.expires
	if beginBefore.IsZero() {
		beginBefore = now.Add(allocator.TokenTTL)
	}
	return Operation{&admission{link: l, account: o.account, expires: o.expires, beginBefore: beginBefore}}, nil
}
