package enroller

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
)

// Roster is the [Directory] of one instance. It sends heartbeats from its
// construction until Close, and serves wire.Membership.
type Roster struct {
	cfg     Config
	stamper messenger.Stamper
	done    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	sent, failed metrics.Counter
	aliveGauge   metrics.Gauge

	mu   sync.Mutex
	self Member
	// supersededAt is the last time at which another process with this
	// instance's name and a newer incarnation was heard.
	supersededAt   time.Time
	warnedAt       time.Time
	lastTick       time.Time
	suspendedUntil time.Time
	members        map[string]*entry
	candidates     map[string]*candidate
	dropped        map[string]time.Time
	platform       platformMarks
	// listed are the alive members with this instance in ascending order,
	// leaving ones included, and listHash is their hash.
	listed   []Member
	listHash uint64
	// dirty is set when something changed that the lists depend on, and
	// nextDeath is the time until which they hold otherwise.
	dirty     bool
	nextDeath time.Time
	// active is listed without the leaving members.
	active  []Member
	changed chan struct{}
	// declined holds the ends of refusals of duties.
	declined map[refusal]time.Time
}

var (
	_ Directory                 = (*Roster)(nil)
	_ wire.DRPCMembershipServer = (*Roster)(nil)
)

// New returns a running roster.
func New(cfg Config) *Roster {
	cfg = cfg.withDefaults()
	r := &Roster{
		cfg:        cfg,
		stamper:    messenger.Stamper{Instance: cfg.Self.Instance, Recorder: cfg.Recorder},
		done:       make(chan struct{}),
		sent:       metrics.GetOrRegisterCounter("enroller.heartbeats_sent", cfg.Registry),
		failed:     metrics.GetOrRegisterCounter("enroller.heartbeats_failed", cfg.Registry),
		aliveGauge: metrics.GetOrRegisterGauge("enroller.members_alive", cfg.Registry),
		self:       cfg.Self,
		lastTick:   cfg.Clock.Now(),
		declined:   make(map[refusal]time.Time),
		members:    make(map[string]*entry),
		candidates: make(map[string]*candidate),
		dropped:    make(map[string]time.Time),
		changed:    make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.mu.Lock()
	for _, address := range cfg.Seeds {
		r.addCandidate(address, true, r.lastTick)
	}
	r.refresh(r.lastTick)
	r.mu.Unlock()
	r.tasks.Go(r.watch)
	if cfg.PlatformURL != "" {
		r.tasks.Go(r.pollPlatform)
	}
	go func() {
		<-r.ctx.Done()
		r.tasks.Wait()
		close(r.done)
	}()
	return r
}

// Done is closed when all tasks have ended.
func (r *Roster) Done() <-chan struct{} { return r.done }

// Close ends all tasks. It does not announce anything; see Leave.
func (r *Roster) Close() error {
	r.cancel()
	<-r.done
	return nil
}

// Self implements [Directory].
func (r *Roster) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Members implements [Directory].
func (r *Roster) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(r.cfg.Clock.Now())
	return slices.Clone(r.active)
}

// Changed implements [Directory].
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Holder implements [Directory]. An instance that was paused for longer than
// the alive limit counts itself out until it has heard from a peer again or
// the alive limit has passed, because a peer may have taken its duties.
func (r *Roster) Holder(duty string) Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := choose(duty, r.willing(duty)); ok {
		return m
	}
	return r.self
}

// Decline passes a member over for a duty for the given time, for example
// because it reaches none of the servers that the duty concerns. When every
// member is passed over, none is.
func (r *Roster) Decline(duty, instance string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.declined[refusal{duty, instance}] = r.cfg.Clock.Now().Add(d)
	close(r.changed)
	r.changed = make(chan struct{})
}

// willing returns the eligible members that do not decline the duty, or all
// eligible ones when every member declines it.
func (r *Roster) willing(duty string) []Member {
	members := r.eligible()
	if len(r.declined) == 0 {
		return members
	}
	now := r.cfg.Clock.Now()
	maps.DeleteFunc(r.declined, func(_ refusal, until time.Time) bool { return now.After(until) })
	willing := slices.DeleteFunc(slices.Clone(members), func(m Member) bool {
		_, declined := r.declined[refusal{duty, m.Instance}]
		return declined
	})
	if len(willing) == 0 {
		return members
	}
	return willing
}

// refusal is a duty that a member declines.
type refusal struct{ duty, instance string }

// HolderInZone implements [Directory].
func (r *Roster) HolderInZone(duty, zone string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	inZone := slices.DeleteFunc(slices.Clone(r.eligible()), func(m Member) bool { return m.Zone != zone })
	return choose(duty, inZone)
}

// eligible returns the members that may hold duties.
func (r *Roster) eligible() []Member {
	now := r.cfg.Clock.Now()
	r.refresh(now)
	if !r.suspended(now) {
		return r.active
	}
	return slices.DeleteFunc(slices.Clone(r.active), r.self.sameProcess)
}

func (r *Roster) suspended(now time.Time) bool { return now.Before(r.suspendedUntil) }

func (r *Roster) superseded(now time.Time) bool {
	return !r.supersededAt.IsZero() && now.Sub(r.supersededAt) <= r.cfg.AliveLimit
}

// watch notices deaths and pauses of this process.
func (r *Roster) watch() {
	ticker := r.cfg.Clock.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.Chan():
		}
		r.mu.Lock()
		now := r.cfg.Clock.Now()
		r.refresh(now)
		r.forget(now)
		r.mu.Unlock()
	}
}

// refresh brings the derived lists up to now. The caller holds mu.
func (r *Roster) refresh(now time.Time) {
	if gap := now.Sub(r.lastTick); gap > r.cfg.AliveLimit {
		r.resume(now, gap)
	}
	r.lastTick = now
	if !r.dirty && now.Before(r.nextDeath) {
		return
	}
	r.dirty = false
	listed := r.aliveMembers(now)
	hash := hashMembers(listed)
	active := r.withoutLeaving(listed)
	if hash == r.listHash && slices.Equal(active, r.active) {
		return
	}
	r.record(now, active)
	r.listed, r.listHash, r.active = listed, hash, active
	r.aliveGauge.Update(int64(len(active)))
	close(r.changed)
	r.changed = make(chan struct{})
}

// resume handles a pause of this process. The silence of the others during
// the pause proves nothing, so it is not counted against them.
func (r *Roster) resume(now time.Time, gap time.Duration) {
	for _, e := range r.members {
		if now.Sub(e.heard)-gap <= r.cfg.AliveLimit {
			e.heard = e.heard.Add(gap)
		}
	}
	r.suspendedUntil = now.Add(r.cfg.AliveLimit)
	r.dirty = true
	r.cfg.Recorder.Record("enroller", "paused", "", "gap", gap)
	r.cfg.Log.WithField("gap", gap).Warn("enroller: this process was paused")
}

func (r *Roster) aliveMembers(now time.Time) []Member {
	members := make([]Member, 0, len(r.members)+1)
	r.nextDeath = now.Add(r.cfg.AliveLimit)
	if !r.superseded(now) {
		members = append(members, r.self)
	}
	for name, e := range r.members {
		if name == r.self.Instance && !r.superseded(now) {
			continue
		}
		if e.alive(now, r.cfg.AliveLimit) {
			members = append(members, e.member)
			r.nextDeath = earlier(r.nextDeath, e.heard.Add(r.cfg.AliveLimit+1))
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return members
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// withoutLeaving drops the members that announced a stop and those that the
// platform marks. The platform's marks are dropped when nobody would remain.
func (r *Roster) withoutLeaving(listed []Member) []Member {
	staying := slices.DeleteFunc(slices.Clone(listed), func(m Member) bool { return m.Leaving })
	unmarked := slices.DeleteFunc(slices.Clone(staying), r.platform.entryLeaving)
	if len(unmarked) > 0 {
		return unmarked
	}
	return staying
}

// record writes the difference between the old and the new members to the
// timeline.
func (r *Roster) record(now time.Time, active []Member) {
	names := func(members []Member) map[string]bool {
		set := make(map[string]bool, len(members))
		for _, m := range members {
			set[m.Instance] = true
		}
		return set
	}
	before, after := names(r.active), names(active)
	for name := range after {
		if !before[name] {
			r.cfg.Recorder.Record("enroller", "member_joined", "", "member", name)
		}
	}
	for name := range before {
		if !after[name] {
			silent := time.Duration(0)
			if e, ok := r.members[name]; ok {
				silent = now.Sub(e.heard)
			}
			r.cfg.Recorder.Record("enroller", "member_lost", "", "member", name, "silent", silent)
			r.cfg.Log.WithFields(map[string]any{"member": name, "silent": silent}).Info("enroller: member lost")
		}
	}
}

// forget drops members that have been silent for long. The caller holds mu.
func (r *Roster) forget(now time.Time) {
	for name, e := range r.members {
		if now.Sub(e.heard) > forgetLimit {
			delete(r.members, name)
		}
	}
	for address, at := range r.dropped {
		if now.Sub(at) > readmitLimit {
			delete(r.dropped, address)
		}
	}
}

// heard notes a message at first hand and returns the member's entry, or nil
// when another process with that name is in the roster. The caller holds mu.
func (r *Roster) heard(m Member, now time.Time) *entry {
	if m.Instance == r.self.Instance && !m.supersedes(r.self) {
		r.warn(now, m, "enroller: another process uses the name of this instance")
		return nil
	}
	e := r.upsert(m, now)
	if e == nil {
		return nil
	}
	r.dirty = r.dirty || !e.alive(now, r.cfg.AliveLimit)
	e.heard = now
	if m.Instance == r.self.Instance {
		r.dirty = true
		r.supersededAt = now
		r.warn(now, m, "enroller: a newer process uses the name of this instance")
	}
	delete(r.dropped, m.Address)
	r.addCandidate(m.Address, false, now)
	return e
}

func (r *Roster) upsert(m Member, now time.Time) *entry {
	e, ok := r.members[m.Instance]
	if !ok {
		if len(r.members) >= r.cfg.MaxMembers {
			r.warn(now, m, "enroller: member limit reached")
			return nil
		}
		e = &entry{member: m}
		r.members[m.Instance] = e
		r.dirty = true
		return e
	}
	if e.member.sameProcess(m) {
		m.Leaving = m.Leaving || e.member.Leaving
		r.dirty = r.dirty || e.member != m
		e.member = m
		return e
	}
	// A restarted instance whose wall clock went back has a lower
	// incarnation; it is accepted once its predecessor is silent.
	if e.alive(now, r.cfg.AliveLimit) && !m.supersedes(e.member) {
		r.warn(now, m, "enroller: duplicate instance name refused")
		return nil
	}
	*e = entry{member: m}
	r.dirty = true
	return e
}

// warn logs a finding about a member, at most once per warnInterval for all
// findings: each of them repeats with every heartbeat. The caller holds mu.
func (r *Roster) warn(now time.Time, m Member, msg string) {
	if !r.warnedAt.IsZero() && now.Sub(r.warnedAt) < warnInterval {
		return
	}
	r.warnedAt = now
	r.cfg.Log.WithFields(map[string]any{"member": m.Instance, "address": m.Address}).Warn(msg)
	r.cfg.Recorder.Record("enroller", "member_refused", "", "member", m.Instance, "address", m.Address, "reason", msg)
}

// mergeList takes a peer's list: it adds candidates and leaving marks, and
// proves nobody alive. The caller holds mu.
func (r *Roster) mergeList(list []*wire.Member, now time.Time) {
	for _, w := range list[:min(len(list), r.cfg.MaxMembers)] {
		m, ok := memberFromWire(w)
		if !ok {
			continue
		}
		if m.Instance == r.self.Instance && m.Address == r.self.Address {
			// A predecessor at this address is still listed. Its incarnation
			// must not hide this process.
			if m.Incarnation > r.self.Incarnation {
				r.self.Incarnation = m.Incarnation + 1
				r.dirty = true
			}
			continue
		}
		if e, ok := r.members[m.Instance]; ok && e.member.sameProcess(m) && m.Leaving {
			r.dirty = r.dirty || !e.member.Leaving
			e.member.Leaving = true
		}
		r.addCandidate(m.Address, false, now)
	}
}

// listFor returns the list for a peer that reported the given hash, nil when
// it need not be sent. The caller holds mu and refreshed the roster.
func (r *Roster) listFor(e *entry, peerHash uint64, now time.Time) []*wire.Member {
	if peerHash == r.listHash {
		return nil
	}
	if e != nil {
		if e.listHash == r.listHash && now.Sub(e.listSent) < listInterval {
			return nil
		}
		e.listHash, e.listSent = r.listHash, now
	}
	list := make([]*wire.Member, 0, len(r.listed))
	for _, m := range r.listed {
		list = append(list, m.toWire())
	}
	return list
}
