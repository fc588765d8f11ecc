package throttler

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/allocator"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/placer"
)

const (
	// requestTimeout covers two trips between zones and a dial. A machine whose processor
	// share is used up pauses for longer; maxTimeouts allows for that.
	requestTimeout = 60 * time.Millisecond
	// maxSilence is how long requests may stay without an answer until the instance uses its own
	// part. It is longer than maxTimeouts requests, so that one silent candidate is not enough.
	maxSilence = 150 * time.Millisecond
	// chooseInterval is how long candidates stay chosen.
	chooseInterval = 250 * time.Millisecond
	// alonePause separates two attempts to reach an allocator while none is reached.
	alonePause = 250 * time.Millisecond
	// listPatience is how long after its start an instance waits for the first list of
	// instances before it acts without one, listPause the time between two looks at it.
	listPatience = 2 * time.Second
	listPause    = 20 * time.Millisecond
)

// link is the exchange of requests of a group with its allocator.
type link struct {
	t      *Throttler
	wake   chan struct{}
	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	ledger ledger

	// Only the link's goroutine uses these. Chosen are the candidates, as of the time.
	roster   roster
	chosen   []placer.Peer
	chosenAt time.Time
	// listAt is when to look for the first list of instances again.
	listAt  time.Time
	chooser allocatorChoice
	// current is the name of the allocator; empty if none is reached. It is known after
	// the first exchange.
	current        string
	isCurrentKnown bool
}

func (t *Throttler) newLink(group string) *link {
	ctx, cancel := context.WithCancel(t.ctx)
	l := &link{
		t: t, wake: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{}), roster: roster{},
		ledger: ledger{
			instance: t.cfg.Instance, group: group, accounts: map[string]*account{}, contributed: t.cfg.Clock.Now(),
			capacity: func(team string, limits allocator.Limits) float64 {
				peers := t.cfg.Instances()
				return reserveCapacity(team, t.cfg.Instance, limits, peers, t.sizeOf(peers))
			},
		},
	}
	go func() {
		defer close(l.done)
		l.run(ctx)
	}()
	return l
}

// close stops the link. Operations that wait give up by themselves.
func (l *link) close() {
	l.cancel()
	<-l.done
	l.t.count.forget(l.ledger.group)
}

// adopt takes over the quotas in force. It removes the accounts of teams that have none any more.
func (l *link) adopt(quotas *allocator.Quotas) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for team, a := range l.ledger.accounts {
		if quota, ok := quotas.Of(team); ok {
			a.limits, a.version = l.t.cfg.Budget.Limits(quota), quotas.Version()
		} else if len(a.waiters) == 0 {
			delete(l.ledger.accounts, team)
		}
	}
}

// admit takes a token of the team, or waits for one until giveUp.
func (l *link) admit(team string, priority int, limits allocator.Limits, version int64, now, giveUp time.Time) outcome {
	l.mu.Lock()
	a := l.ledger.account(team, limits, version)
	o, w := l.ledger.admit(a, priority, now, giveUp)
	isShort := w != nil || a.needsAhead(now)
	l.mu.Unlock()
	if isShort {
		l.wakeUp()
	}
	if w == nil {
		return o
	}
	timer := l.t.cfg.Clock.NewTimer(giveUp.Sub(now))
	defer timer.Stop()
	select {
	case o := <-w.outcome:
		return o
	case <-timer.Chan():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ledger.giveUp(a, w) {
		return <-w.outcome
	}
	return outcome{refusal: a.refusal(l.ledger.instances, l.t.cfg.Clock.Now(), noAnswer)}
}

// run sends requests until ctx ends: when operations wait, and now and then without demand.
func (l *link) run(ctx context.Context) {
	regular := l.t.cfg.Clock.Now()
	for {
		now := l.t.cfg.Clock.Now()
		l.mu.Lock()
		due := l.ledger.next(now)
		l.mu.Unlock()
		if due.IsZero() || regular.Before(due) {
			due = regular
		}
		if due.Before(l.listAt) {
			due = l.listAt
		}
		if due.After(now) {
			select {
			case <-l.t.cfg.Clock.After(due.Sub(now)):
			case <-l.wake:
			case <-ctx.Done():
				return
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		pause := l.exchange(ctx)
		regular = l.t.cfg.Clock.Now().Add(pause*3/4 + rand.N(pause/2))
	}
}

// wakeUp makes the link look for demand.
func (l *link) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// exchange sends a request to the first candidate that should be reached, and returns the
// pause until the next one is due without demand.
func (l *link) exchange(ctx context.Context) time.Duration {
	now := l.t.cfg.Clock.Now()
	if now.Sub(l.chosenAt) >= chooseInterval {
		l.choose(now)
	}
	l.mu.Lock()
	due := l.ledger.next(now)
	isUrgent := !due.IsZero() && !due.After(now)
	l.mu.Unlock()
	chosen, known := l.chosen, l.chooser.candidates(l.chosen)
	for range maxTimeouts * candidates {
		now := l.t.cfg.Clock.Now()
		i, isProbe := l.chooser.choose(known, isUrgent, now)
		if i < 0 || !l.t.cfg.InstancesKnown() {
			break
		}
		// A probe comes besides the request that contributes.
		if poll, ok := l.ask(ctx, chosen[i], known, i, isProbe); ok && !isProbe {
			l.chooser.adopt(known[i], l.t.cfg.Clock.Now())
			l.setCurrent(chosen[i].Name)
			return poll
		}
		if ctx.Err() != nil {
			break
		}
	}
	switch {
	case l.t.cfg.InstancesKnown():
		l.setCurrent("")
	case l.t.cfg.Clock.Since(l.t.started) < listPatience:
		// Also while operations wait: looking without a pause takes the processor share of a
		// small machine from the part that reads the list.
		l.listAt = l.t.cfg.Clock.Now().Add(listPause)
		return listPause
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.goAlone(l.t.cfg.Clock.Now())
	return alonePause
}

// choose updates the candidates and the number of instances.
func (l *link) choose(now time.Time) {
	if !l.t.cfg.InstancesKnown() {
		// Alone in its own list, this instance would run the rate of the whole fleet.
		return
	}
	peers := l.roster.observe(l.t.cfg.Instances(), now)
	l.chosen, l.chosenAt = placer.Gateways("quota/"+l.ledger.group, "", peers, candidates), now
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.observe(l.t.sizeOf(peers), now)
}

// ask sends a request to a candidate. It returns false if it got no tokens or none are
// allocated there.
func (l *link) ask(ctx context.Context, p placer.Peer, known []*reachability, chosen int, isProbe bool) (poll time.Duration, ok bool) {
	l.mu.Lock()
	now := l.t.cfg.Clock.Now()
	l.ledger.endSilence(now)
	r := l.ledger.request(isProbe, now)
	l.t.count.setTokens(l.ledger.group, l.ledger.tokens(r.sent))
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	l.t.count.requests.Inc(1)
	out, err := l.t.cfg.Client.Acquire(ctx, p, r.QuotaRequest)
	now = l.t.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil && !out.GetDeclined():
		known[chosen].answered(out, now)
		l.ledger.accept(r, out, now)
		return pollAfter(out), true
	case err == nil || errors.Is(err, messenger.ErrNotConnected):
		l.ledger.takeBack(r)
		known[chosen].unreached(now)
	default:
		known[chosen].timedOut(timeoutLimit(known, now), now)
	}
	l.t.cfg.Log.WithError(err).WithField("allocator", p.Name).Debug("throttler: no tokens were received")
	return 0, false
}

// minPoll bounds the requests without demand whatever an allocator asks for. While quota is
// short, an instance that got tokens tells after this time that it has used them, because
// they count against the stock until then.
const minPoll = 100 * time.Millisecond

// pollAfter returns the pause until the next request without demand.
func pollAfter(out *wire.QuotaResponse) time.Duration {
	poll := time.Duration(min(out.GetPollUs(), uint64(allocator.PollInterval.Microseconds()))) * time.Microsecond
	gotTokens := slices.ContainsFunc(out.GetGrants(), func(g *wire.QuotaGrant) bool { return g.GetTokens() > 0 })
	if gotTokens && poll < allocator.PollInterval {
		return minPoll
	}
	return max(poll, minPoll)
}

// setCurrent records which instance allocates the group's quotas, and logs a change.
func (l *link) setCurrent(name string) {
	if name == l.current && l.isCurrentKnown {
		return
	}
	l.isCurrentKnown = true
	fields := logrus.Fields{"group": l.ledger.group, "allocator": name, "before": l.current}
	l.current = name
	l.t.count.setAlone(l.ledger.group, name == "")
	if name == "" {
		l.t.cfg.Log.WithFields(fields).Warn("throttler: no instance that allocates quotas is reached; this instance admits only its own part")
		return
	}
	l.t.cfg.Log.WithFields(fields).Info("throttler: instance allocates the quotas from now on")
}
