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

// Membership implements [Directory] with heartbeats, which it sends from [New]
// until Close, and serves the calls of wire.Membership. It is safe for
// concurrent use.
type Membership struct {
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
	// instance's name and a newer incarnation sent a message.
	supersededAt time.Time
	warnedAt     time.Time
	// lastRefresh is the time of the last refresh. A long gap since then means
	// that this process was paused.
	lastRefresh time.Time
	// suspendedUntil is the time until which this instance holds no roles after
	// a pause.
	suspendedUntil time.Time
	members        map[string]*memberState
	peers          map[string]*peer // by address
	// dropped are the addresses of dropped peers with the time of the drop.
	dropped  map[string]time.Time
	platform platformMarks
	// alive are the live members in ascending order of name, with this instance
	// and with leaving members. listHash is their hash.
	alive    []Member
	listHash uint64
	// dirty is set when something changed on which the lists depend. If it is
	// not set, the lists are valid until nextExpiry.
	dirty      bool
	nextExpiry time.Time
	// active is alive without the leaving members.
	active  []Member
	changed chan struct{}
	// declined holds the time until which each declined role is declined.
	declined map[declinedRole]time.Time
}

var (
	_ Directory                 = (*Membership)(nil)
	_ wire.DRPCMembershipServer = (*Membership)(nil)
)

// New returns a running membership.
func New(cfg Config) *Membership {
	cfg = cfg.withDefaults()
	ms := &Membership{
		cfg:         cfg,
		stamper:     messenger.Stamper{Instance: cfg.Self.Instance, Recorder: cfg.Recorder},
		done:        make(chan struct{}),
		sent:        metrics.GetOrRegisterCounter("enroller.heartbeats_sent", cfg.Registry),
		failed:      metrics.GetOrRegisterCounter("enroller.heartbeats_failed", cfg.Registry),
		aliveGauge:  metrics.GetOrRegisterGauge("enroller.members_alive", cfg.Registry),
		self:        cfg.Self,
		lastRefresh: cfg.Clock.Now(),
		declined:    make(map[declinedRole]time.Time),
		members:     make(map[string]*memberState),
		peers:       make(map[string]*peer),
		dropped:     make(map[string]time.Time),
		changed:     make(chan struct{}),
	}
	ms.ctx, ms.cancel = context.WithCancel(context.Background())
	ms.mu.Lock()
	for _, address := range cfg.Seeds {
		ms.addPeer(address, true, ms.lastRefresh)
	}
	ms.refresh(ms.lastRefresh)
	ms.mu.Unlock()
	ms.tasks.Go(ms.runChecks)
	if cfg.PlatformURL != "" {
		ms.tasks.Go(ms.pollPlatform)
	}
	go func() {
		<-ms.ctx.Done()
		ms.tasks.Wait()
		close(ms.done)
	}()
	return ms
}

// Done is closed when all tasks have ended.
func (ms *Membership) Done() <-chan struct{} { return ms.done }

// Close ends all tasks. It does not announce that this instance stops; see
// [Membership.AnnounceLeave].
func (ms *Membership) Close() error {
	ms.cancel()
	<-ms.done
	return nil
}

// Self implements [Directory].
func (ms *Membership) Self() Member {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.self
}

// Members implements [Directory].
func (ms *Membership) Members() []Member {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.refresh(ms.cfg.Clock.Now())
	return slices.Clone(ms.active)
}

// FleetSize returns how many instances may serve callers; false before it is known. These are
// the entries of the platform's newest list that are not leaving, without a list the seeds,
// and all members. Unlike Members it counts instances that do not answer: one that cannot be
// reached from here may still serve.
func (ms *Membership) FleetSize() (n int, known bool) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.refresh(ms.cfg.Clock.Now())
	addresses := map[string]bool{ms.self.Address: true}
	for _, m := range ms.alive {
		addresses[m.Address] = true
	}
	listed := ms.platform.listed
	if !ms.platform.isRead {
		listed = ms.cfg.Seeds
	}
	for _, address := range listed {
		addresses[address] = true
	}
	return len(addresses), ms.platform.isRead || ms.cfg.PlatformURL == "" || len(ms.alive) > 1
}

// Changed implements [Directory].
func (ms *Membership) Changed() <-chan struct{} {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.changed
}

// Holder implements [Directory]. After a pause longer than the failure timeout,
// another member may have taken over this instance's roles. This instance is
// therefore no holder until it has completed an exchange with a peer or the
// failure timeout has passed again.
func (ms *Membership) Holder(role string) Member {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if m, ok := chooseHolder(role, ms.accepting(role)); ok {
		return m
	}
	return ms.self
}

// Decline excludes a member from a role for the given time, for example because
// it cannot reach any of the servers that the role concerns. If every member is
// excluded, the exclusions are ignored.
func (ms *Membership) Decline(role, instance string, d time.Duration) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.declined[declinedRole{role, instance}] = ms.cfg.Clock.Now().Add(d)
	close(ms.changed)
	ms.changed = make(chan struct{})
}

// accepting returns the eligible members that have not declined the role, or
// all eligible members if every one has declined it.
func (ms *Membership) accepting(role string) []Member {
	members := ms.eligible()
	if len(ms.declined) == 0 {
		return members
	}
	now := ms.cfg.Clock.Now()
	maps.DeleteFunc(ms.declined, func(_ declinedRole, until time.Time) bool { return now.After(until) })
	willing := slices.DeleteFunc(slices.Clone(members), func(m Member) bool {
		_, declined := ms.declined[declinedRole{role, m.Instance}]
		return declined
	})
	if len(willing) == 0 {
		return members
	}
	return willing
}

// declinedRole is a role that an instance has declined.
type declinedRole struct{ role, instance string }

// HolderInZone implements [Directory].
func (ms *Membership) HolderInZone(role, zone string) (Member, bool) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	inZone := slices.DeleteFunc(slices.Clone(ms.eligible()), func(m Member) bool { return m.Zone != zone })
	return chooseHolder(role, inZone)
}

// eligible returns the members that may hold roles. The caller holds mu.
func (ms *Membership) eligible() []Member {
	now := ms.cfg.Clock.Now()
	ms.refresh(now)
	if !ms.suspended(now) {
		return ms.active
	}
	return slices.DeleteFunc(slices.Clone(ms.active), ms.self.sameProcess)
}

func (ms *Membership) suspended(now time.Time) bool { return now.Before(ms.suspendedUntil) }

func (ms *Membership) superseded(now time.Time) bool {
	return !ms.supersededAt.IsZero() && now.Sub(ms.supersededAt) <= ms.cfg.FailureTimeout
}

// runChecks regularly detects failed members and pauses of this process.
func (ms *Membership) runChecks() {
	ticker := ms.cfg.Clock.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ms.ctx.Done():
			return
		case <-ticker.Chan():
		}
		ms.mu.Lock()
		now := ms.cfg.Clock.Now()
		ms.refresh(now)
		ms.removeSilent(now)
		ms.mu.Unlock()
	}
}

// refresh recomputes the derived lists for the time now and detects a pause of
// this process. The caller holds mu.
func (ms *Membership) refresh(now time.Time) {
	if gap := now.Sub(ms.lastRefresh); gap > ms.cfg.FailureTimeout {
		ms.handlePause(now, gap)
	}
	ms.lastRefresh = now
	if !ms.dirty && now.Before(ms.nextExpiry) {
		return
	}
	ms.dirty = false
	listed := ms.aliveMembers(now)
	hash := hashMembers(listed)
	active := ms.withoutLeaving(listed)
	if hash == ms.listHash && slices.Equal(active, ms.active) {
		return
	}
	ms.record(now, active)
	ms.alive, ms.listHash, ms.active = listed, hash, active
	ms.aliveGauge.Update(int64(len(active)))
	close(ms.changed)
	ms.changed = make(chan struct{})
}

// handlePause accounts for a pause of this process: the others' silence during
// the pause does not show that they failed, so it is not counted.
func (ms *Membership) handlePause(now time.Time, gap time.Duration) {
	for _, e := range ms.members {
		if now.Sub(e.heardAt)-gap <= ms.cfg.FailureTimeout {
			e.heardAt = e.heardAt.Add(gap)
		}
	}
	ms.suspendedUntil = now.Add(ms.cfg.FailureTimeout)
	ms.dirty = true
	ms.cfg.Recorder.Record("enroller", "paused", "", "gap", gap)
	ms.cfg.Log.WithField("gap", gap).Warn("enroller: this process was paused")
}

func (ms *Membership) aliveMembers(now time.Time) []Member {
	members := make([]Member, 0, len(ms.members)+1)
	ms.nextExpiry = now.Add(ms.cfg.FailureTimeout)
	if !ms.superseded(now) {
		members = append(members, ms.self)
	}
	for name, e := range ms.members {
		if name == ms.self.Instance && !ms.superseded(now) {
			continue
		}
		if e.alive(now, ms.cfg.FailureTimeout) {
			members = append(members, e.member)
			ms.nextExpiry = earlier(ms.nextExpiry, e.heardAt.Add(ms.cfg.FailureTimeout+1))
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

// withoutLeaving removes the members that announced a stop and those that the
// platform marks as leaving. If no member would remain, the platform's marks
// are ignored.
func (ms *Membership) withoutLeaving(listed []Member) []Member {
	staying := slices.DeleteFunc(slices.Clone(listed), func(m Member) bool { return m.Leaving })
	unmarked := slices.DeleteFunc(slices.Clone(staying), ms.platform.entryLeaving)
	if len(unmarked) > 0 {
		return unmarked
	}
	return staying
}

// record logs the difference between the previous and the new members and
// records it as events.
func (ms *Membership) record(now time.Time, active []Member) {
	names := func(members []Member) map[string]bool {
		set := make(map[string]bool, len(members))
		for _, m := range members {
			set[m.Instance] = true
		}
		return set
	}
	before, after := names(ms.active), names(active)
	for name := range after {
		if !before[name] {
			ms.cfg.Recorder.Record("enroller", "member_joined", "", "member", name)
		}
	}
	for name := range before {
		if !after[name] {
			silent := time.Duration(0)
			if e, ok := ms.members[name]; ok {
				silent = now.Sub(e.heardAt)
			}
			ms.cfg.Recorder.Record("enroller", "member_lost", "", "member", name, "silent", silent)
			ms.cfg.Log.WithFields(map[string]any{"member": name, "silent": silent}).Info("enroller: member lost")
		}
	}
}

// removeSilent removes the members that have been silent for forgetTimeout, and
// allows lists to add dropped addresses again. The caller holds mu.
func (ms *Membership) removeSilent(now time.Time) {
	for name, e := range ms.members {
		if now.Sub(e.heardAt) > forgetTimeout {
			delete(ms.members, name)
		}
	}
	for address, at := range ms.dropped {
		if now.Sub(at) > readmitDelay {
			delete(ms.dropped, address)
		}
	}
}

// recordContact records that a message arrived directly from m and returns its
// state. It returns nil if another process with that name is preferred or the
// member limit is reached. The caller holds mu.
func (ms *Membership) recordContact(m Member, now time.Time) *memberState {
	if m.Instance == ms.self.Instance && !m.supersedes(ms.self) {
		ms.warn(now, m, "enroller: another process uses the name of this instance")
		return nil
	}
	e := ms.upsert(m, now)
	if e == nil {
		return nil
	}
	ms.dirty = ms.dirty || !e.alive(now, ms.cfg.FailureTimeout)
	e.heardAt = now
	if m.Instance == ms.self.Instance {
		ms.dirty = true
		ms.supersededAt = now
		ms.warn(now, m, "enroller: a newer process uses the name of this instance")
	}
	delete(ms.dropped, m.Address)
	ms.addPeer(m.Address, false, now)
	return e
}

func (ms *Membership) upsert(m Member, now time.Time) *memberState {
	e, ok := ms.members[m.Instance]
	if !ok {
		if len(ms.members) >= ms.cfg.MaxMembers {
			ms.warn(now, m, "enroller: member limit reached")
			return nil
		}
		e = &memberState{member: m}
		ms.members[m.Instance] = e
		ms.dirty = true
		return e
	}
	if e.member.sameProcess(m) {
		m.Leaving = m.Leaving || e.member.Leaving
		ms.dirty = ms.dirty || e.member != m
		e.member = m
		return e
	}
	// A restarted instance whose wall clock went back has a lower incarnation.
	// It is accepted once the previous process has been silent for the failure
	// timeout.
	if e.alive(now, ms.cfg.FailureTimeout) && !m.supersedes(e.member) {
		ms.warn(now, m, "enroller: duplicate instance name refused")
		return nil
	}
	*e = memberState{member: m}
	ms.dirty = true
	return e
}

// warn logs a warning about a member, at most one per warnInterval, because
// each cause repeats with every heartbeat. The caller holds mu.
func (ms *Membership) warn(now time.Time, m Member, msg string) {
	if !ms.warnedAt.IsZero() && now.Sub(ms.warnedAt) < warnInterval {
		return
	}
	ms.warnedAt = now
	ms.cfg.Log.WithFields(map[string]any{"member": m.Instance, "address": m.Address}).Warn(msg)
	ms.cfg.Recorder.Record("enroller", "member_refused", "", "member", m.Instance, "address", m.Address, "reason", msg)
}

// mergeList adds the peers and the leaving marks of another member's list. It
// makes no member alive. The caller holds mu.
func (ms *Membership) mergeList(list []*wire.Member, now time.Time) {
	for _, w := range list[:min(len(list), ms.cfg.MaxMembers)] {
		m, ok := memberFromWire(w)
		if !ok {
			continue
		}
		if m.Instance == ms.self.Instance && m.Address == ms.self.Address {
			// An earlier process at this address is still listed. Its higher
			// incarnation must not take precedence over this process.
			if m.Incarnation > ms.self.Incarnation {
				ms.self.Incarnation = m.Incarnation + 1
				ms.dirty = true
			}
			continue
		}
		if e, ok := ms.members[m.Instance]; ok && e.member.sameProcess(m) && m.Leaving {
			ms.dirty = ms.dirty || !e.member.Leaving
			e.member.Leaving = true
		}
		ms.addPeer(m.Address, false, now)
	}
}

// listFor returns the member list for a peer that reported the given hash, or
// nil if it need not be sent. The caller holds mu and has called refresh.
func (ms *Membership) listFor(e *memberState, peerHash uint64, now time.Time) []*wire.Member {
	if peerHash == ms.listHash {
		return nil
	}
	if e != nil {
		if e.sentListHash == ms.listHash && now.Sub(e.listSentAt) < listInterval {
			return nil
		}
		e.sentListHash, e.listSentAt = ms.listHash, now
	}
	list := make([]*wire.Member, 0, len(ms.alive))
	for _, m := range ms.alive {
		list = append(list, m.toWire())
	}
	return list
}
