package allocator

import (
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
)

const (
	// minRetry and maxRetry bound the pause until an instance asks again for a team that
	// is out of tokens.
	minRetry = 20 * time.Millisecond
	maxRetry = 250 * time.Millisecond
	// aheadAbove is the share of the stock that is kept for operations that wait.
	aheadAbove = 0.25
	// needBelow is the share of the bound below which a team needs all of its refill. Tokens
	// that members hold may have been used.
	needBelow = 0.75
)

// bucket holds a team's tokens. It is filled by contributions of members.
type bucket struct {
	limits Limits
	stock  float64
	// bound is what the stock and the held tokens may be together at present.
	bound float64
	// peak is the most that the stock and the held tokens were together in the last window.
	peak peak
	// held is the number of tokens that members may hold unused.
	held int
	// spread is by how much the last instance that was told to ask again comes later than
	// the first.
	spread time.Duration
}

// clip removes what exceeds the limit while the share of the instances are members.
func (b *bucket) clip(share float64, isYoung bool) {
	b.bound = b.limits.Stock
	if isYoung {
		b.bound = b.limits.Young
	}
	if b.bound *= share; share > 0 {
		// Members can use the refill only in whole tokens.
		b.bound = max(b.bound, 1)
	}
	b.stock = max(min(b.stock, b.bound-float64(b.held)), 0)
}

// contribute adds the refill of one instance of n for the elapsed time. The part of the
// stock that has been in use at no time of the last window adds to the refill, up to the
// team's burst: the rule counts operations in each window, so a team that asks for more than
// its limit all the time may have its burst in each.
func (b *bucket) contribute(elapsed time.Duration, n int, now time.Time, isYoung bool) {
	rate := b.limits.Rate
	if peak, ok := b.peak.observe(b.stock+float64(b.held), now, b.limits.Window); ok && !isYoung {
		// Contributions cover up to Lag before a window.
		rate += max(min(b.bound-peak, b.limits.Burst), 0) / (b.limits.Window + b.limits.Lag).Seconds()
	}
	b.stock += rate * min(elapsed, b.limits.Lag).Seconds() / float64(n)
}

// isLow reports whether instances should contribute often.
func (b *bucket) isLow() bool { return b.stock < needBelow*b.bound }

// grant takes tokens for a demand out of the stock, among the members that are the share of
// the instances.
func (b *bucket) grant(d *wire.QuotaDemand, members int, share float64) *wire.QuotaGrant {
	waiting := min(int(d.GetWaiting()), int(b.stock))
	ahead := min(int(d.GetWant()), int(b.stock-aheadAbove*b.bound)-waiting, int(aheadShare*b.bound)-b.held-waiting)
	tokens := waiting + max(ahead, 0)
	b.stock -= float64(tokens)
	b.held += tokens
	g := &wire.QuotaGrant{Tokens: uint32(tokens), ValidUs: uint64(TokenTTL.Microseconds())}
	if waiting < int(d.GetWaiting()) {
		g.RetryUs = uint64(b.retryAfter(members, share).Microseconds())
	}
	return g
}

// retryAfter returns when it is worth asking again. Instances that are told so one after the
// other get different times, spread over the time in which half of the stock fills, so that
// no refill is lost meanwhile.
func (b *bucket) retryAfter(members int, share float64) time.Duration {
	fill := min(seconds(b.limits.Young/b.limits.Rate)/2, maxRetry)
	if b.spread += fill / time.Duration(max(members, 1)); b.spread >= fill {
		b.spread = 0
	}
	nextToken := seconds((1 - min(b.stock, 1)) / (b.limits.Rate * share))
	return min(max(nextToken+b.spread, minRetry), maxRetry)
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
