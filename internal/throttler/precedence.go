package throttler

import "time"

const (
	// floor is the share of a short team's admitted operations that less urgent ones keep, as
	// at a server; see package scheduler.
	floor = 0.05
	// shortTime is how long a team counts as short of tokens after an answer or a refusal
	// showed it.
	shortTime = time.Second
	// urgentTime is how long the most urgent priority that an instance has seen for a team is
	// remembered.
	urgentTime = 10 * time.Second
	// yieldPause is the least pause between two requests to the allocator for operations that
	// yield.
	yieldPause = 100 * time.Millisecond
)

// precedence decides which operations of a team that is short of tokens go first. It is for a
// team that sends several times its limit: without it, the few urgent operations of the team
// would be refused as often as the others.
//
//   - Operations that are less urgent than others of the team yield: the allocator gives them
//     tokens only from the part of its stock that it does not keep for those that wait.
//   - While operations of a priority are refused, less urgent ones are refused at once, except
//     for the floor.
//
// Without a shortage, and for a team with one priority, it changes nothing.
type precedence struct {
	// urgent is the most urgent priority of the operations since urgentAt.
	urgent   int
	urgentAt time.Time
	// shortUntil is until when the team counts as short of tokens.
	shortUntil time.Time
	// refused is the most urgent priority of which an operation was refused before
	// refusedUntil.
	refused      int
	refusedUntil time.Time
	// credit is what the floor has earned, in operations.
	credit float64
}

// place records an operation of the priority. It returns whether the operation yields, and
// whether it is refused because more urgent ones are.
func (p *precedence) place(priority int, now time.Time) (yields, isRefused bool) {
	if p.urgentAt.IsZero() || priority <= p.urgent || now.Sub(p.urgentAt) > urgentTime {
		p.urgent, p.urgentAt = priority, now
	}
	switch {
	case !p.isShort(now) || priority <= p.urgent:
		return false, false
	case !now.Before(p.refusedUntil) || priority <= p.refused:
		return true, false
	case p.credit >= 1:
		p.credit--
		return false, false
	}
	return true, true
}

// isShort reports whether the team counts as short of tokens.
func (p *precedence) isShort(now time.Time) bool { return now.Before(p.shortUntil) }

// observeShortage records that the allocator had too few tokens.
func (p *precedence) observeShortage(now time.Time) { p.shortUntil = now.Add(shortTime) }

// observeRefusal records that an operation was refused for lack of tokens.
func (p *precedence) observeRefusal(priority int, now time.Time) {
	if !now.Before(p.refusedUntil) || priority <= p.refused {
		p.refused, p.refusedUntil = priority, now.Add(shortTime)
	}
}

// earn records an admitted operation.
func (p *precedence) earn(now time.Time) {
	if p.isShort(now) {
		p.credit = min(p.credit+floor, 1)
	}
}
