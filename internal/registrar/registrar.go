// Package registrar registers this instance in the store while its process runs,
// and lists the other instances.
//
// The entry of an instance has a store lease that the instance renews, so that it
// expires when the instance fails. While the store is down, the last list stays,
// because an unreachable store does not mean that the other instances have failed.
// When the store was restored from an older copy, instances that the copy lacks stay
// listed for the lifetime of an entry.
//
// Until the first list, the instances that another one knows are used instead
// ([Registrar.Offer]): the store may refuse this instance's calls for long.
//
// An instance that tells that it is stopping is removed from the list at once, and stays
// removed until its next start is listed.
package registrar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/storer"
)

// Prefix is the prefix of the instances' keys in the store; the name follows.
const Prefix = "marigold/instances/"

const (
	// leaseTime covers two lost renewals. After it, the connections that a failed
	// instance was entitled to are free for the others.
	leaseTime = 6 * time.Second
	// renewInterval separates two renewals; the store charges a tenth of a read for
	// each.
	renewInterval = 2 * time.Second
	// listPerInstance is the pause between two lists for each known instance, so that
	// all instances together list at a constant rate. It is at least minListInterval.
	listPerInstance = 100 * time.Millisecond
	minListInterval = 2 * time.Second
	// settlingInterval is the first pause between two lists after many instances started,
	// came or went; the pause doubles. Machines that start together do so within 0.3 s, and
	// until each knows all of them they disagree on the gateways of the servers.
	settlingInterval = 200 * time.Millisecond
	// freshTime is the age of this instance up to which its lists are linearizable reads.
	// A stale one may be seconds old.
	freshTime = 600 * time.Millisecond
	// togetherTime is the difference of the starts of instances that started together. It
	// is long enough for their clocks and a process that was started again.
	togetherTime = 3 * time.Second
	// retryInterval is the least pause after a failed call. In large fleets it is
	// retryPerInstance for each instance, because the store charges refused calls,
	// too.
	retryInterval    = 500 * time.Millisecond
	retryPerInstance = 25 * time.Millisecond
	// firstCallTimeout limits each call until the first list. It covers a call to a store that
	// is 60 times slower than usual, which takes 240 ms. It is short because a silent store
	// that is back answers the next call, and without a list the instance has hardly any
	// connections. It doubles after each failure, up to maxCallTimeout, which is the limit of
	// later calls (platform.storeTimeout).
	firstCallTimeout = 300 * time.Millisecond
	maxCallTimeout   = time.Second
	// firstRetryInterval is the pause after the first failed call before that list; it
	// doubles up to retryInterval.
	firstRetryInterval = 100 * time.Millisecond
)

// RemovalInterval is the time between two removals of instances that told that they are
// stopping, and by how much the second one may be delayed. After each the whole fleet chooses
// the gateways of all servers again. That takes 1.8 ms for 60 servers and 95 instances: a
// quarter of the processor of a machine with 0.19 cores when 43 instances stop in 1.7 s.
const RemovalInterval = 200 * time.Millisecond

// maxLoggedNames limits the names of instances in one log line.
const maxLoggedNames = 16

// Instance is a registered instance.
type Instance struct {
	Name string `json:"name"`
	// Address is where other instances reach it.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Processor is its processor share in thousandths of a core; 0 if it is not
	// known.
	Processor int `json:"processor_millicores,omitempty"`
	// Incarnation differs for each start of the process: the time of day in nanoseconds.
	Incarnation int64 `json:"incarnation"`
}

// Config holds what a [Registrar] needs.
type Config struct {
	Store storer.Store
	Self  Instance
	Clock clockwork.Clock
	Log   logrus.FieldLogger
}

// Registrar keeps this instance's entry and the list of the others.
type Registrar struct {
	cfg Config

	mu     sync.Mutex
	others []Instance
	order  *storer.ListOrder
	carry  carryOver
	lease  int64
	// stopping has the incarnations of instances that told that they are stopping, until
	// they are not listed any more.
	stopping map[string]int64
	// removed is when some of them were last removed from the list, and isRemoving is set
	// while others are about to be.
	removed    time.Time
	isRemoving bool
	// isListFromInstance is set when others came from another instance, not from the store.
	isListFromInstance bool
	// started is when this registrar started, asked when it asked for the last list that it
	// got, listed when it last got a newer one, and unsettled when many instances last came or
	// went.
	started, asked, listed, unsettled time.Time
	changed                           chan struct{}

	// callTimeout limits each call until the first list. Only run and what it calls use it.
	callTimeout time.Duration

	cancel context.CancelFunc
	done   chan struct{}
}

// New starts a registrar.
func New(cfg Config) *Registrar {
	ctx, cancel := context.WithCancel(context.Background())
	now := cfg.Clock.Now()
	r := &Registrar{
		cfg: cfg, order: storer.NewListOrder(Prefix, cfg.Clock, cfg.Log), stopping: map[string]int64{}, started: now, unsettled: now,
		callTimeout: firstCallTimeout, changed: make(chan struct{}), cancel: cancel, done: make(chan struct{}),
	}
	go func() {
		defer close(r.done)
		r.run(ctx)
	}()
	return r
}

// Others returns the other instances in order of their names.
func (r *Registrar) Others() []Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.others
}

// HasList reports whether the instances have been listed at least once, or another instance
// has told of them.
func (r *Registrar) HasList() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.listed.IsZero() || r.isListFromInstance
}

// hasListed reports whether the instances have been listed at least once.
func (r *Registrar) hasListed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.listed.IsZero()
}

// IsListFromInstance reports whether the list of instances came from another instance, not from
// the store. This one is not known to be in the store then, and the others do not count it among
// them.
func (r *Registrar) IsListFromInstance() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isListFromInstance
}

// Entries returns the known instances, this one included, as the store has them; none while
// they are likely to come and go, because the list may lack many then, and none without a list:
// another instance would take this one for the only one.
func (r *Registrar) Entries() []storer.Entry {
	r.mu.Lock()
	isSettled := r.cfg.Clock.Since(r.unsettled) >= togetherTime
	r.mu.Unlock()
	if !isSettled || !r.HasList() {
		return nil
	}
	var entries []storer.Entry
	for _, o := range append([]Instance{r.cfg.Self}, r.Others()...) {
		value, err := json.Marshal(o)
		if err != nil {
			r.cfg.Log.WithError(err).Error("registrar: instance cannot be encoded")
			continue
		}
		entries = append(entries, storer.Entry{Key: Prefix + o.Name, Value: value})
	}
	return entries
}

// Offer takes the entries that another instance knows for the list of instances if this one
// has none. The next list replaces them.
func (r *Registrar) Offer(entries []storer.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.listed.IsZero() || r.isListFromInstance {
		return
	}
	others := r.decode(entries)
	if len(others) == 0 {
		return
	}
	r.isListFromInstance = true
	r.cfg.Log.WithField("others", len(others)).Info("registrar: instances are known from another one")
	r.setOthers(others)
}

// decode returns the other instances that the entries describe, in order of their names. The
// caller holds mu.
func (r *Registrar) decode(entries []storer.Entry) []Instance {
	var others []Instance
	for _, e := range entries {
		var o Instance
		if err := json.Unmarshal(e.Value, &o); err != nil || o.Name != strings.TrimPrefix(e.Key, Prefix) {
			r.cfg.Log.WithField("key", e.Key).Warn("registrar: entry does not describe an instance")
			continue
		}
		if o.Name != r.cfg.Self.Name {
			others = append(others, o)
		}
	}
	sort.Slice(others, func(i, j int) bool { return others[i].Name < others[j].Name })
	return others
}

// Changed returns a channel that is closed at the next change of the list.
func (r *Registrar) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Count returns the number of listed instances in the zone and elsewhere, this one
// included.
func (r *Registrar) Count(zone string) (sameZone, otherZones int) {
	count := func(z string) {
		if z == zone {
			sameZone++
		} else {
			otherZones++
		}
	}
	count(r.cfg.Self.Zone)
	for _, o := range r.Others() {
		count(o.Zone)
	}
	return sameZone, otherZones
}

// Done returns a channel that is closed when the registrar has stopped.
func (r *Registrar) Done() <-chan struct{} { return r.done }

// Close removes this instance's entry from the store.
func (r *Registrar) Close() {
	r.cancel()
	<-r.done
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	if lease != 0 {
		if err := r.cfg.Store.Revoke(context.Background(), lease); err != nil {
			r.cfg.Log.WithError(err).Info("registrar: entry was not removed; it expires by itself")
		}
	}
}

// Remove removes the named instance, which has told that it is stopping, from the list,
// within RemovalInterval. It is listed again when it has started again.
func (r *Registrar) Remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.others, func(o Instance) bool { return o.Name == name })
	if i < 0 {
		return
	}
	r.stopping[name] = r.others[i].Incarnation
	wait := RemovalInterval - r.cfg.Clock.Since(r.removed)
	switch {
	case r.isRemoving:
	case wait <= 0:
		r.removeStopping()
	default:
		r.isRemoving = true
		r.cfg.Clock.AfterFunc(wait, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.removeStopping()
		})
	}
}

// removeStopping removes the instances that told that they are stopping. The caller holds mu.
func (r *Registrar) removeStopping() {
	r.isRemoving, r.removed = false, r.cfg.Clock.Now()
	var names []string
	others := slices.DeleteFunc(slices.Clone(r.others), func(o Instance) bool {
		if incarnation, ok := r.stopping[o.Name]; !ok || incarnation != o.Incarnation {
			return false
		}
		names = append(names, o.Name)
		return true
	})
	if len(names) == 0 {
		return
	}
	r.cfg.Log.WithField("stopping", names[:min(len(names), maxLoggedNames)]).Info("registrar: instances are stopping and are not used any more")
	r.setOthers(others)
}

// setOthers replaces the list of the others and signals the change. The caller holds mu.
func (r *Registrar) setOthers(others []Instance) {
	r.others = others
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Registrar) run(ctx context.Context) {
	var unreachableSince, renewal time.Time
	firstRetry := firstRetryInterval
	for ctx.Err() == nil {
		err := r.update(ctx, &renewal)
		wait := min(r.cfg.Clock.Until(renewal), r.untilList())
		switch {
		case err != nil && !r.hasListed():
			wait = firstRetry
			firstRetry = min(2*firstRetry, retryInterval)
			r.callTimeout = min(2*r.callTimeout, maxCallTimeout)
		case err != nil:
			wait = max(retryInterval, time.Duration(len(r.Others()))*retryPerInstance)
		}
		unreachableSince = r.logStoreState(ctx, err, unreachableSince)
		select {
		case <-r.cfg.Clock.After(wait):
		case <-ctx.Done():
		}
	}
}

// update renews the entry's lease and lists the instances if they are due. It sets when the
// lease is to be renewed next.
func (r *Registrar) update(ctx context.Context, renewal *time.Time) error {
	if now := r.cfg.Clock.Now(); !now.Before(*renewal) {
		if err := r.renew(ctx); err != nil {
			return err
		}
		*renewal = now.Add(renewInterval*3/4 + rand.N(renewInterval/2))
	}
	if r.untilList() > 0 {
		return nil
	}
	return r.list(ctx)
}

// callContext returns the context of one call to the store.
func (r *Registrar) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.hasListed() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, r.callTimeout)
}

// logStoreState logs when the store becomes unreachable and when it is back. It returns
// since when it has been unreachable; zero if it is not.
func (r *Registrar) logStoreState(ctx context.Context, err error, unreachableSince time.Time) time.Time {
	switch {
	case err == nil && !unreachableSince.IsZero():
		r.cfg.Log.WithField("after", r.cfg.Clock.Since(unreachableSince).String()).Info("registrar: store is back")
		return time.Time{}
	case err != nil && unreachableSince.IsZero() && ctx.Err() == nil:
		r.cfg.Log.WithError(err).Warn("registrar: store is out of reach")
		return r.cfg.Clock.Now()
	}
	return unreachableSince
}

// renew renews the entry's lease, or registers the instance again if it has
// expired.
func (r *Registrar) renew(ctx context.Context) error {
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	if lease != 0 {
		callCtx, cancel := r.callContext(ctx)
		_, err := r.cfg.Store.KeepAlive(callCtx, lease)
		cancel()
		if !errors.Is(err, storer.ErrLeaseNotFound) {
			return err
		}
	}
	return r.register(ctx)
}

// register writes this instance's entry with a new lease.
func (r *Registrar) register(ctx context.Context) error {
	grantCtx, cancelGrant := r.callContext(ctx)
	defer cancelGrant()
	lease, err := r.cfg.Store.GrantLease(grantCtx, leaseTime)
	if err != nil {
		return err
	}
	value, err := json.Marshal(r.cfg.Self)
	if err != nil {
		return err
	}
	tx := storer.Transaction{}.WithLeasedPut(Prefix+r.cfg.Self.Name, value, lease)
	commitCtx, cancelCommit := r.callContext(ctx)
	defer cancelCommit()
	if _, err := r.cfg.Store.Commit(commitCtx, tx); err != nil {
		return err
	}
	r.mu.Lock()
	r.lease = lease
	r.mu.Unlock()
	r.cfg.Log.WithField("lease", lease).Info("registrar: instance is listed")
	return nil
}

// untilList returns the time until the next list.
func (r *Registrar) untilList() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed.IsZero() {
		return 0
	}
	return listInterval(len(r.others), r.asked.Sub(r.unsettled)) - r.cfg.Clock.Since(r.asked)
}

// listInterval returns the pause after a list of the others that was made when the list had
// been settled for the given time: as long again, within limits.
func listInterval(others int, settled time.Duration) time.Duration {
	usual := max(time.Duration(others)*listPerInstance, minListInterval)
	return min(max(settled, settlingInterval), usual)
}

// isUnsettling reports whether so many instances came or went between two lists that more
// are likely to follow: a quarter of the larger one, and two at least.
func isUnsettling(before, after []Instance) bool {
	known := make(map[Instance]bool, len(before))
	for _, o := range before {
		known[o] = true
	}
	came := 0
	for _, o := range after {
		if !known[o] {
			came++
		}
	}
	went := len(before) + came - len(after)
	return max(came, went) >= max(2, max(len(before), len(after))/4)
}

// startedTogether reports whether a quarter of the others started at about the same time as
// this instance: the list may lack some that are about to register.
func (r *Registrar) startedTogether(others []Instance) bool {
	n := 0
	for _, o := range others {
		if age := time.Duration(r.cfg.Self.Incarnation - o.Incarnation); age.Abs() < togetherTime {
			n++
		}
	}
	return 4*n >= len(others)
}

// list lists the instances, by a stale read once others are known and this instance is
// not fresh.
func (r *Registrar) list(ctx context.Context) error {
	list := r.cfg.Store.List
	if stale, ok := r.cfg.Store.(storer.StaleLister); ok && len(r.Others()) > 0 && r.cfg.Clock.Since(r.started) > freshTime {
		list = stale.ListStale
	}
	asked := r.cfg.Clock.Now()
	ctx, cancel := r.callContext(ctx)
	defer cancel()
	entries, revision, err := list(ctx, Prefix)
	if err != nil {
		return err
	}
	// After an error the next list is due after the pause of a retry, not after the interval.
	r.mu.Lock()
	r.asked = asked
	r.mu.Unlock()
	r.apply(entries, revision)
	return nil
}

// apply adopts a list unless it is older than the last one.
func (r *Registrar) apply(entries []storer.Entry, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.order.Accept(revision) {
		return
	}
	isFirst := r.listed.IsZero()
	now := r.cfg.Clock.Now()
	r.listed, r.isListFromInstance = now, false
	if isFirst {
		// What another instance told of is no list of before.
		r.carry.begin(revision, nil, now)
	} else {
		r.carry.begin(revision, r.others, now)
	}
	others := r.decode(entries)
	others = r.withoutStopping(r.carry.merge(others, now))
	sort.Slice(others, func(i, j int) bool { return others[i].Name < others[j].Name })
	if len(others) != len(r.others) {
		r.cfg.Log.WithFields(logrus.Fields{"others": len(others), "revision": storer.FormatRevision(revision)}).Info("registrar: list of instances changed")
	}
	switch {
	case isFirst && len(others) > 0 && !r.startedTogether(others):
		r.unsettled = time.Time{}
	case isUnsettling(r.others, others):
		r.unsettled = now
	}
	if isFirst || !slices.Equal(others, r.others) {
		r.setOthers(others)
	}
}

// withoutStopping removes the instances that told that they are stopping, and forgets those
// that are not listed any more or have started again. The caller holds mu.
func (r *Registrar) withoutStopping(listed []Instance) []Instance {
	stopping := map[string]int64{}
	others := slices.DeleteFunc(listed, func(o Instance) bool {
		incarnation, ok := r.stopping[o.Name]
		if !ok || incarnation != o.Incarnation {
			return false
		}
		stopping[o.Name] = incarnation
		return true
	})
	r.stopping = stopping
	return others
}
