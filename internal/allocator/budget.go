package allocator

import "time"

// Budget is by how much a team may exceed its rate. In any span of Window, the operations
// of a team must not exceed (rate x Window + burst) x (1 + Excess) + Slack.
type Budget struct {
	Window        time.Duration
	Excess, Slack float64
}

// Shares of what a team may run in a window beyond rate x window, and of what is left of it
// for stocks.
const (
	maxLagShare  = 0.6
	reserveShare = 0.15
	spendable    = 0.96
	youngShare   = 0.3
	// aheadShare is the share of the stock that members may hold for operations that are
	// expected.
	aheadShare = 0.4
	// minLag is longer than the pause between two requests of an instance while a team
	// needs all of its refill. A budget that is smaller than it needs loses refill.
	minLag = 270 * time.Millisecond
)

// Limits bound what of a team's quota may be unused at a time.
type Limits struct {
	// Rate is the refill in tokens a second. Burst is what the team may run beyond it in each
	// Window.
	Rate, Burst float64
	Window      time.Duration
	// Lag is the longest time that an instance's contribution covers.
	Lag time.Duration
	// Stock bounds the tokens in stock and those that members hold. Young bounds them at an
	// allocator that became one lately, because those of its predecessor may still be in use.
	Stock, Young float64
	// Reserve bounds, over all instances, the tokens that instances accrue for themselves
	// while they reach no allocator.
	Reserve float64
}

// Limits returns the limits of a quota. A team with a rate can always run an operation,
// even if the budget is less than one.
func (b Budget) Limits(q Quota) Limits {
	beyond := q.Burst + b.Excess*(q.RatePerSecond*b.Window.Seconds()+q.Burst) + b.Slack
	lag := min(minLag.Seconds(), maxLagShare*beyond/q.RatePerSecond)
	reserve := reserveShare * beyond
	stocks := spendable*beyond - lag*q.RatePerSecond - reserve
	return Limits{
		Rate: q.RatePerSecond, Burst: q.Burst, Window: b.Window, Lag: time.Duration(lag * float64(time.Second)),
		Stock: max((1-youngShare)*stocks, 1), Young: max(youngShare*stocks, 1), Reserve: reserve,
	}
}
