package throttler

import (
	"slices"
	"time"

	"marigoldhub.example/hub/internal/allocator"
)

const (
	// aheadTime is for how much of the recent demand tokens are asked for ahead.
	aheadTime = 300 * time.Millisecond
	// roundUp is added to the number of those tokens before the fraction is cut off.
	roundUp = 0.3
	// denseDemand is how many operations a second at this instance are worth a request
	// before the next operation waits.
	denseDemand = 10
	// maxRetryAfter bounds when refused callers are told to come back.
	maxRetryAfter = 5 * time.Second
	// maxReturnPause bounds the time between two callers' returns.
	maxReturnPause = time.Second
	// maxWaiters bounds the operations of a team that wait for an answer.
	maxWaiters = 512
	// unknownTime is how long an answer counts that says so.
	unknownTime = 250 * time.Millisecond
	// aheadPause separates two requests that are sent only for tokens ahead.
	aheadPause = 50 * time.Millisecond
)

// lot is a number of tokens that expire together.
type lot struct {
	tokens  int
	expires time.Time
}

// waiter is an operation that waits for a token.
type waiter struct {
	// giveUp is until when it may wait.
	giveUp   time.Time
	priority int
	// yields is set if others of the team get tokens first.
	yields bool
	// outcome receives the lot that the token is from, or the refusal.
	outcome chan outcome
}

// outcome is how an operation was admitted or refused.
type outcome struct {
	// account and expires tell where the token is from; expires is zero for one from the
	// reserve.
	account *account
	expires time.Time
	refusal *Refusal
}

// account holds the tokens of a team and the operations that wait for some.
type account struct {
	limits allocator.Limits
	// version is that of the configuration that the limits are from.
	version int64
	lots    []lot
	// returned is the number of tokens that have expired unused and were not reported.
	returned int
	waiters  []*waiter
	// running has the tokens of operations that have not ended: they may be given back.
	running []lot
	// demand and admitted average the operations that arrive and that are admitted.
	demand, admitted demandRate
	// aheadAt is when tokens may be asked for ahead again.
	aheadAt time.Time
	// emptyUntil is when it is worth asking again; permitted is how many operations may
	// wait until then.
	emptyUntil time.Time
	permitted  int
	// precedence decides which operations go first, and yieldUntil is when it is worth asking
	// again for those that yield.
	precedence precedence
	yieldUntil time.Time
	// unknownUntil is until when the allocator is taken not to have the quota.
	unknownUntil time.Time
	// reserve has the tokens that were accrued without an allocator, at most capacity.
	reserve, capacity float64
	// returns is the time at which the last refused caller was told to come back.
	returns time.Time
}

// unexpired removes empty and expired lots. It returns the rest, its number of tokens and
// the number of expired ones.
func unexpired(lots []lot, now time.Time) (rest []lot, left, expired int) {
	rest = slices.DeleteFunc(lots, func(l lot) bool {
		if now.Before(l.expires) {
			left += l.tokens
			return l.tokens == 0
		}
		expired += l.tokens
		return true
	})
	return rest, left, expired
}

// addTokens adds tokens in the order in which they expire.
func addTokens(lots []lot, l lot) []lot {
	i, ok := slices.BinarySearchFunc(lots, l, func(x, y lot) int { return x.expires.Compare(y.expires) })
	if ok {
		lots[i].tokens += l.tokens
		return lots
	}
	return slices.Insert(lots, i, l)
}

// held returns the number of tokens.
func (a *account) held(now time.Time) int {
	lots, n, expired := unexpired(a.lots, now)
	a.lots = lots
	a.returned += expired
	return n
}

// unused returns the number of tokens that are held or may be given back.
func (a *account) unused(now time.Time) int {
	running, n, _ := unexpired(a.running, now)
	a.running = running
	return a.held(now) + n
}

// take takes the token that expires first for an operation. It returns false if there is
// none.
func (a *account) take(now time.Time) (expires time.Time, ok bool) {
	if a.held(now) == 0 {
		return time.Time{}, false
	}
	a.lots[0].tokens--
	expires = a.lots[0].expires
	a.running = addTokens(a.running, lot{tokens: 1, expires: expires})
	a.admitted.add(now)
	a.precedence.earn(now)
	return expires, true
}

// put adds tokens, and gives them to the operations that wait.
func (a *account) put(l lot, now time.Time) {
	a.lots = addTokens(a.lots, l)
	a.serve(now)
}

// end records that the operation with the token has ended. It returns false if the token
// has expired.
func (a *account) end(expires, now time.Time) bool {
	a.running, _, _ = unexpired(a.running, now)
	for i := range a.running {
		if a.running[i].expires.Equal(expires) {
			a.running[i].tokens--
			return true
		}
	}
	return false
}

// wait adds an operation behind those that go before it: the ones that do not yield, or else
// those of more urgent priorities, and those that came before it.
func (a *account) wait(w *waiter) {
	i := slices.IndexFunc(a.waiters, func(o *waiter) bool {
		return o.yields && (!w.yields || w.priority < o.priority)
	})
	if i < 0 {
		i = len(a.waiters)
	}
	a.waiters = slices.Insert(a.waiters, i, w)
}

// waiting returns how many operations wait that yield, or that do not.
func (a *account) waiting(yields bool) int {
	n := 0
	for _, w := range a.waiters {
		if w.yields == yields {
			n++
		}
	}
	return n
}

// askAt returns when it is worth asking for an operation that yields, or for one that does
// not.
func (a *account) askAt(yields bool) time.Time {
	if yields && a.yieldUntil.After(a.emptyUntil) {
		return a.yieldUntil
	}
	return a.emptyUntil
}

// serve gives tokens to the operations that wait, in their order.
func (a *account) serve(now time.Time) {
	for len(a.waiters) > 0 {
		expires, ok := a.take(now)
		if !ok {
			return
		}
		a.waiters[0].outcome <- outcome{account: a, expires: expires}
		a.waiters = a.waiters[1:]
	}
}

// ahead returns how many tokens to ask for beyond those that are held. A team gets at least
// one if an operation is likely while it is valid, unless it is short of tokens.
func (a *account) ahead(now time.Time) int {
	if a.precedence.isShort(now) {
		return 0
	}
	target := int(a.demand.perSecond(now)*aheadTime.Seconds() + roundUp)
	return max(target-a.held(now), 0)
}

// needsAhead reports whether the demand alone is worth a request for tokens ahead. Those
// for less demand come with the requests for other teams.
func (a *account) needsAhead(now time.Time) bool {
	return a.held(now) == 0 && a.demand.perSecond(now) >= denseDemand && !a.precedence.isShort(now)
}

// takeReserve takes a token that was accrued without an allocator. It returns false if
// there is none.
func (a *account) takeReserve(now time.Time) bool {
	if a.reserve < 1 {
		return false
	}
	a.reserve--
	a.admitted.add(now)
	return true
}

// serveFromReserve gives the reserve to the operations that wait, and refuses the others.
func (a *account) serveFromReserve(n int, now time.Time) {
	for _, w := range a.waiters {
		if a.takeReserve(now) {
			w.outcome <- outcome{account: a}
			continue
		}
		w.outcome <- outcome{refusal: a.refusal(n, now, noAllocator)}
	}
	a.waiters = nil
}

// admitUnknown admits or refuses an operation while the allocator does not have the quota:
// from this instance's own part. More would let a fleet that restarts run a team's quota
// again before the allocator has read the configuration. N is the number of instances.
func (a *account) admitUnknown(n int, now time.Time) outcome {
	if a.takeReserve(now) {
		return outcome{account: a}
	}
	return outcome{refusal: a.refusal(n, now, notInForce)}
}

// refuseHopeless refuses the operations that cannot wait until the next request, and those
// beyond the permitted number. N is the number of instances.
func (a *account) refuseHopeless(n int, now time.Time) {
	var rest []*waiter
	kept := map[bool]int{}
	for _, w := range a.waiters {
		askAt := a.askAt(w.yields)
		if !now.Before(askAt) || kept[w.yields] < a.permitted && !w.giveUp.Before(askAt) {
			rest = append(rest, w)
			kept[w.yields]++
			continue
		}
		w.outcome <- a.refuse(n, now, w.priority)
	}
	a.waiters = rest
}

// refuse refuses an operation for lack of tokens. N is the number of instances.
func (a *account) refuse(n int, now time.Time, priority int) outcome {
	a.precedence.observeRefusal(priority, now)
	return outcome{refusal: a.refusal(n, now, usedUp)}
}

// refusal returns a refusal. Callers that are refused one after the other are told
// different times to come back, at the rate at which they are admitted here, or at this
// instance's part of the team's rate. N is the number of instances.
func (a *account) refusal(n int, now time.Time, reason string) *Refusal {
	earliest := now
	if a.emptyUntil.After(now) {
		earliest = a.emptyUntil
	}
	if a.returns.Before(earliest) {
		a.returns = earliest
	}
	pause := maxReturnPause
	if n == 0 {
		// The size of the fleet, and so this instance's part, is not known yet.
	} else if perSecond := max(a.admitted.perSecond(now), a.limits.Rate/float64(max(n, 1))); perSecond > 1 {
		pause = time.Duration(float64(time.Second) / perSecond)
	}
	a.returns = a.returns.Add(min(pause, maxReturnPause))
	if limit := now.Add(maxRetryAfter); a.returns.After(limit) {
		a.returns = limit
	}
	return &Refusal{Reason: reason, After: a.returns.Sub(now).Round(time.Millisecond)}
}

// putReserve gives back a token from the reserve.
func (a *account) putReserve() { a.reserve = min(a.reserve+1, a.capacity) }
