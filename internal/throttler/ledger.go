package throttler

import (
	"slices"
	"time"

	"marigoldhub.example/hub/internal/allocator"
	"marigoldhub.example/hub/internal/messenger/wire"
)

const (
	// maxContribution bounds the time that a request contributes.
	maxContribution = time.Second
	// minorRetry is the pause after an answer of an allocator with little refill.
	minorRetry = 20 * time.Millisecond
	// tellTime is how long after a team's last operation an allocator with an older
	// configuration is told the team's quota.
	tellTime = time.Minute
)

// ledger holds the accounts of a group of teams, and the time that this instance has not
// contributed to their refill yet.
type ledger struct {
	instance, group string
	// capacity returns this instance's part of a team's reserve.
	capacity func(team string, limits allocator.Limits) float64
	accounts map[string]*account
	fleet    allocator.FleetSize
	// instances is the number of instances; 0 if it is not known yet.
	instances int
	// contributed is the time up to which this instance's time was contributed or used.
	contributed time.Time
	sequence    uint64
	// silentSince is when the first request after the last answer was sent; zero if all have
	// been answered.
	silentSince time.Time
	// allocatorVersion is the version of the allocator's configuration by its last answer.
	allocatorVersion int64
	// isAlone is true while no allocator is reached.
	isAlone bool
}

// request is a request for tokens on its way.
type request struct {
	*wire.QuotaRequest
	sent time.Time
	// contributedBefore is the ledger's contributed time before the request.
	contributedBefore time.Time
	// yielding is for how many operations of each team that yield it asks.
	yielding map[string]int
}

// account returns the team's account with the limits in force.
func (l *ledger) account(team string, limits allocator.Limits, version int64) *account {
	a := l.accounts[team]
	if a == nil {
		a = &account{permitted: 1}
		if l.isAlone {
			a.capacity = l.partOfReserve(team, limits)
		}
		l.accounts[team] = a
	}
	a.limits, a.version = limits, version
	return a
}

// admit takes a token for an operation of the priority that may wait until giveUp. It returns
// a waiter if the operation must wait.
func (l *ledger) admit(a *account, priority int, now, giveUp time.Time) (outcome, *waiter) {
	a.demand.add(now)
	yields, isRefused := a.precedence.place(priority, now)
	if isRefused {
		return outcome{refusal: a.refusal(l.instances, now, usedUp)}, nil
	}
	if expires, ok := a.take(now); ok {
		return outcome{account: a, expires: expires}, nil
	}
	if l.isAlone {
		l.accrue(now)
		if !a.takeReserve(now) {
			return outcome{refusal: a.refusal(l.instances, now, noAllocator)}, nil
		}
		return outcome{account: a}, nil
	}
	if now.Before(a.unknownUntil) {
		return a.admitUnknown(l.instances, now), nil
	}
	askAt := a.askAt(yields)
	mustWait := now.Before(askAt)
	if mustWait && (askAt.After(giveUp) || a.waiting(yields) >= a.permitted) || len(a.waiters) >= maxWaiters {
		return a.refuse(l.instances, now, priority), nil
	}
	w := &waiter{giveUp: giveUp, priority: priority, yields: yields, outcome: make(chan outcome, 1)}
	a.wait(w)
	return outcome{}, w
}

// giveUp ends a wait. It returns false if the wait has already ended.
func (l *ledger) giveUp(a *account, w *waiter) bool {
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	return true
}

// next returns when a request is due for operations that wait, or because a team with much
// demand has no tokens left; the zero time if none is.
func (l *ledger) next(now time.Time) time.Time {
	var due time.Time
	if l.isAlone {
		return due
	}
	for _, a := range l.accounts {
		if len(a.waiters) == 0 && !a.needsAhead(now) {
			continue
		}
		at := latest(now, a.askAt(a.waiting(false) == 0 && len(a.waiters) > 0))
		if len(a.waiters) == 0 && a.aheadAt.After(at) {
			at = a.aheadAt
		}
		if due.IsZero() || at.Before(due) {
			due = at
		}
	}
	return due
}

// request returns a request for the present demand. It contributes the time up to now
// unless it is a probe, whose receiver most instances do not use.
func (l *ledger) request(isProbe bool, now time.Time) request {
	r := request{sent: now, contributedBefore: l.contributed, yielding: map[string]int{}, QuotaRequest: &wire.QuotaRequest{
		Instance: l.instance, Group: l.group, Instances: uint32(l.instances),
	}}
	if !isProbe {
		r.ElapsedUs = uint64(min(now.Sub(l.contributed), maxContribution).Microseconds())
		l.contributed = now
	}
	if l.silentSince.IsZero() {
		l.silentSince = now
	}
	l.sequence = max(l.sequence+1, uint64(now.UnixMicro()))
	r.Sequence = l.sequence
	for team, a := range l.accounts {
		held, ahead := a.unused(now), a.ahead(now)
		waiting, yielding := a.waiting(false), a.waiting(true)
		if a.emptyUntil.After(now) {
			ahead, waiting = 0, 0
		}
		if a.askAt(true).After(now) {
			yielding = 0
		}
		if ahead > 0 {
			a.aheadAt = now.Add(aheadPause)
		}
		if held+ahead+waiting+yielding+a.returned > 0 || l.mustTell(a, now) {
			r.yielding[team] = yielding
			d := &wire.QuotaDemand{
				Team: team, Held: uint32(held), Want: uint32(ahead + yielding), Waiting: uint32(waiting), Returned: uint32(a.returned),
			}
			if a.version > l.allocatorVersion {
				d.Version, d.RatePerSecond, d.Burst = a.version, a.limits.Rate, a.limits.Burst
			}
			r.Demands = append(r.Demands, d)
			a.returned = 0
		}
	}
	return r
}

// mustTell reports whether the allocator is told the team's quota although there is no demand.
// It would forget the quota between two operations, and begin without a stock at each.
func (l *ledger) mustTell(a *account, now time.Time) bool {
	return a.version > l.allocatorVersion && l.allocatorVersion > 0 && now.Sub(a.demand.at) <= tellTime
}

// accept takes over the tokens of a response.
func (l *ledger) accept(r request, out *wire.QuotaResponse, now time.Time) {
	l.isAlone, l.silentSince, l.allocatorVersion = false, time.Time{}, out.GetVersion()
	for i, d := range r.GetDemands() {
		a := l.accounts[d.GetTeam()]
		if a == nil || i >= len(out.GetGrants()) {
			continue
		}
		g := out.GetGrants()[i]
		if valid := time.Duration(min(g.GetValidUs(), uint64(allocator.TokenTTL.Microseconds()))) * time.Microsecond; g.GetTokens() > 0 {
			a.put(lot{tokens: int(g.GetTokens()), expires: r.sent.Add(valid)}, now)
		}
		if g.GetUnknown() && d.GetVersion() == 0 && a.version > l.allocatorVersion && l.allocatorVersion > 0 {
			// The next request, which is due at once, tells the quota.
			continue
		}
		if g.GetUnknown() {
			l.useOwnPart(d.GetTeam(), a, r, now)
			continue
		}
		a.unknownUntil = time.Time{}
		given := int(g.GetTokens())
		if yielding := r.yielding[d.GetTeam()]; yielding > max(given-int(d.GetWaiting()), 0) {
			a.precedence.observeShortage(now)
			a.yieldUntil = now.Add(yieldPause)
		}
		if d.GetWaiting() > 0 {
			a.permitted = 1 + min(given, int(d.GetWaiting()))
		}
		if d.GetWaiting() > 0 && g.GetRetryUs() > 0 {
			a.emptyUntil = now.Add(retryAfter(g, out))
			if !isMinor(out) {
				a.precedence.observeShortage(now)
			}
		}
		a.refuseHopeless(l.instances, now)
	}
}

// useOwnPart makes this instance use for itself the time of a request whose receiver does not
// have the team's quota.
func (l *ledger) useOwnPart(team string, a *account, r request, now time.Time) {
	a.unknownUntil, a.emptyUntil = now.Add(unknownTime), time.Time{}
	a.capacity = l.partOfReserve(team, a.limits)
	elapsed := min(time.Duration(r.GetElapsedUs())*time.Microsecond, a.limits.Lag)
	a.reserve = min(a.reserve+a.limits.Rate*elapsed.Seconds()/float64(max(l.instances, 1)), a.capacity)
	for _, w := range a.waiters {
		w.outcome <- a.admitUnknown(l.instances, now)
	}
	a.waiters = nil
}

// retryAfter returns when it is worth asking again. Another candidate may have the tokens
// that one with little refill lacks.
func retryAfter(g *wire.QuotaGrant, out *wire.QuotaResponse) time.Duration {
	if isMinor(out) {
		return minorRetry
	}
	return time.Duration(min(g.GetRetryUs(), uint64(maxContribution.Microseconds()))) * time.Microsecond
}

// isMinor reports whether the answer is of an allocator with little refill.
func isMinor(out *wire.QuotaResponse) bool {
	share := float64(out.GetRefillPermille()) / 1000
	return share > 0 && share < majorShare
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// takeBack makes the time of a request available again that has not arrived.
func (l *ledger) takeBack(r request) {
	if l.contributed.Equal(r.sent) {
		l.contributed = r.contributedBefore
	}
}

// observe records the number of listed instances.
func (l *ledger) observe(instances int, now time.Time) {
	before := l.instances
	l.instances = l.fleet.Observe(instances, now)
	if l.isAlone && l.instances != before {
		l.divideReserve()
	}
}

// assumedInstances is the size of the fleet while this instance has no list: a large one.
const assumedInstances = instancesPerGroup

// divideReserve gives each account this instance's part of the team's reserve.
func (l *ledger) divideReserve() {
	for team, a := range l.accounts {
		a.capacity = l.partOfReserve(team, a.limits)
	}
}

func (l *ledger) partOfReserve(team string, limits allocator.Limits) float64 {
	if l.instances == 0 {
		return limits.Reserve / assumedInstances
	}
	return l.capacity(team, limits)
}

// goAlone makes this instance use its time for itself, because no allocator is reached.
func (l *ledger) goAlone(now time.Time) {
	if !l.isAlone {
		l.isAlone = true
		l.divideReserve()
	}
	l.accrue(now)
	for _, a := range l.accounts {
		a.serveFromReserve(l.instances, now)
	}
}

// endSilence makes this instance use its time for itself when requests have been without an
// answer for too long, while it goes on to look for an allocator.
func (l *ledger) endSilence(now time.Time) {
	if !l.silentSince.IsZero() && now.Sub(l.silentSince) >= maxSilence {
		l.goAlone(now)
	}
}

// accrue adds the time that was not contributed to the reserves.
func (l *ledger) accrue(now time.Time) {
	elapsed := min(now.Sub(l.contributed), maxContribution)
	l.contributed = now
	n := l.instances
	if n == 0 {
		n = assumedInstances
	}
	for _, a := range l.accounts {
		a.reserve = min(a.reserve+a.limits.Rate*min(elapsed, a.limits.Lag).Seconds()/float64(n), a.capacity)
	}
}

// tokens returns the number of tokens of all teams.
func (l *ledger) tokens(now time.Time) int {
	n := 0
	for _, a := range l.accounts {
		n += a.held(now)
	}
	return n
}
