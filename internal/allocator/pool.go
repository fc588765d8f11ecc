package allocator

import (
	"maps"
	"math"
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// member is an instance that sends requests for a group.
type member struct {
	// heard is when its last request was processed, contributed when it last had time for
	// the refill.
	heard       time.Time
	contributed time.Time
	sequence    uint64
	// held has the tokens of each team that it may hold unused.
	held map[string]int
}

// pool holds the tokens of a group of teams.
type pool struct {
	members map[string]*member
	buckets map[string]*bucket
	fleet   FleetSize
	// heard is when the last request was processed, lowAt when a team last needed all of
	// its refill.
	heard, lowAt time.Time
	// began is when the first request came after a time without any.
	began time.Time
	// refill is the contributed time in a second, averaged until refillAt.
	refill   float64
	refillAt time.Time
	// usedUntil is until when a window may have operations of a team that has no quota any more.
	usedUntil map[string]time.Time
	// majorSince is since when the pool has had most of the refill; zero if it has not.
	majorSince time.Time
}

func newPool() *pool {
	return &pool{members: map[string]*member{}, buckets: map[string]*bucket{}, usedUntil: map[string]time.Time{}}
}

// adopt takes over the teams' limits.
func (p *pool) adopt(limits map[string]Limits, now time.Time) {
	for team, b := range p.buckets {
		if _, ok := limits[team]; !ok {
			delete(p.buckets, team)
			p.usedUntil[team] = now.Add(b.limits.Window + TokenTTL)
		}
	}
	maps.DeleteFunc(p.usedUntil, func(_ string, t time.Time) bool { return !now.Before(t) })
	for team, l := range limits {
		if b := p.buckets[team]; b != nil {
			b.limits = l
			continue
		}
		b := &bucket{limits: l}
		for _, m := range p.members {
			b.held += m.held[team]
		}
		if _, isUsed := p.usedUntil[team]; !isUsed && p.isMajorFor(l.Window+TokenTTL, now) {
			// The team has had no quota for a window, and other allocators little of the refill, so
			// that no window has operations of tokens besides these.
			b.stock = l.Stock
		}
		p.buckets[team] = b
	}
}

// share returns the share of n instances that use this pool. A member that only asks how
// much the pool is used contributes nothing and uses another one.
func (p *pool) share(n int, now time.Time) float64 {
	users := 0
	for _, m := range p.members {
		if now.Sub(m.contributed) <= memberTTL {
			users++
		}
	}
	return min(float64(users)/float64(n), 1)
}

// expire forgets tokens that have expired and instances that are silent.
func (p *pool) expire(now time.Time) {
	for name, m := range p.members {
		silent := now.Sub(m.heard)
		if silent > TokenTTL {
			p.release(m)
		}
		if silent > memberTTL {
			delete(p.members, name)
		}
	}
}

// release counts the member's tokens as used or expired.
func (p *pool) release(m *member) {
	for team, n := range m.held {
		if b := p.buckets[team]; b != nil {
			b.held -= n
		}
	}
	m.held = nil
}

// acquire processes a request. N is the number of instances that the allocator knows.
func (p *pool) acquire(in *wire.QuotaRequest, n int, now time.Time) *wire.QuotaResponse {
	p.expire(now)
	n = p.fleet.Observe(max(n, min(int(min(in.GetInstances(), maxInstances)), believedFactor*max(n, len(p.members), 16)), len(p.members)), now)
	p.clip(n, now)
	m := p.members[in.GetInstance()]
	if m == nil {
		m = &member{}
		p.members[in.GetInstance()] = m
		n = p.fleet.Observe(len(p.members), now)
	}
	if in.GetSequence() <= m.sequence {
		return &wire.QuotaResponse{Declined: true}
	}
	p.release(m)
	if now.Sub(p.heard) > memberTTL {
		p.began = now
	}
	p.heard = now
	m.heard, m.sequence, m.held = now, in.GetSequence(), map[string]int{}
	for _, d := range in.GetDemands() {
		if b := p.buckets[d.GetTeam()]; b != nil {
			held := int(min(d.GetHeld(), maxTokens))
			m.held[d.GetTeam()] += held
			b.held += held
			b.stock += float64(min(d.GetReturned(), maxTokens))
		}
	}
	elapsed := time.Duration(min(in.GetElapsedUs(), uint64(maxElapsed.Microseconds()))) * time.Microsecond
	if elapsed > 0 {
		m.contributed = now
	}
	for _, b := range p.buckets {
		b.contribute(elapsed, n, now, p.isYoung(now))
	}
	p.observeRefill(elapsed, n, now)
	p.clip(n, now)
	out := p.respond(in, m, p.share(n, now), now)
	if now.Sub(p.began) > PollInterval {
		out.RefillPermille = uint32(max(1, 1000*min(p.refill/float64(n), 1)))
	}
	return out
}

// refillPeriod is the time constant of the average of the refill.
const refillPeriod = time.Second

// observeRefill adds contributed time to the average.
func (p *pool) observeRefill(elapsed time.Duration, n int, now time.Time) {
	if !p.refillAt.IsZero() {
		p.refill *= math.Exp(-now.Sub(p.refillAt).Seconds() / refillPeriod.Seconds())
	}
	p.refillAt = now
	p.refill += elapsed.Seconds() / refillPeriod.Seconds()
	switch isMajor := p.refill >= float64(n)/2; {
	case !isMajor:
		p.majorSince = time.Time{}
	case p.majorSince.IsZero():
		p.majorSince = now
	}
}

// isYoung reports whether the stock of an earlier allocator may still be in use.
func (p *pool) isYoung(now time.Time) bool { return !p.isMajorFor(2*memberTTL, now) }

// isMajorFor reports whether the pool has had most of the refill for the time.
func (p *pool) isMajorFor(d time.Duration, now time.Time) bool {
	return !p.majorSince.IsZero() && now.Sub(p.majorSince) >= d
}

func (p *pool) clip(n int, now time.Time) {
	share, isYoung := p.share(n, now), p.isYoung(now)
	for _, b := range p.buckets {
		b.clip(share, isYoung)
	}
}

// respond grants what the demands of the member ask for.
func (p *pool) respond(in *wire.QuotaRequest, m *member, share float64, now time.Time) *wire.QuotaResponse {
	out := &wire.QuotaResponse{PollUs: uint64(PollInterval.Microseconds())}
	for _, d := range in.GetDemands() {
		b := p.buckets[d.GetTeam()]
		if b == nil {
			out.Grants = append(out.Grants, &wire.QuotaGrant{RetryUs: uint64(maxRetry.Microseconds()), Unknown: true})
			continue
		}
		g := b.grant(d, len(p.members), share)
		m.held[d.GetTeam()] += int(g.GetTokens())
		out.Grants = append(out.Grants, g)
	}
	for _, b := range p.buckets {
		if b.isLow() {
			p.lowAt = now
			break
		}
	}
	if now.Sub(p.lowAt) < busyTime {
		out.PollUs = uint64(busyPollInterval.Microseconds())
	}
	return out
}
