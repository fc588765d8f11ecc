package scheduler

import (
	"maps"
	"slices"
	"time"
)

// costWeight is the weight of a new sample in the mean slot time: about the last ten
// requests count.
const costWeight = 0.2

// maxIdleAccounts bounds the accounts of teams without requests. When there are more, all
// are forgotten, and these teams take part as new ones.
const maxIdleAccounts = 256

// account is a team's use of the slots at one priority.
type account struct {
	team string
	// used is the slot time charged to the team, in the time of the level.
	used time.Duration
	// waiting and running count the team's requests.
	waiting, running int
}

func (a *account) isActive() bool { return a.waiting+a.running > 0 }

// level holds the requests of one priority.
type level[T any] struct {
	priority int
	// waiting are the waiting requests in the order of their arrival. The queue limit keeps
	// the list short enough to scan.
	waiting  []*Entry[T]
	accounts map[string]*account
	// active is the number of accounts with requests, used the sum of their use, and
	// charged the part of it that is expected of the requests that run.
	active        int
	used, charged time.Duration
	// last is the mean when the last account with requests had no more of them.
	last time.Duration
	// measured is the moving average of the slot time; 0 if none is known.
	measured time.Duration
	// credit is the slot time that the floor of the priority has earned.
	credit time.Duration
	// sweepAt is the number of accounts at which those that say nothing are forgotten.
	sweepAt int
}

// mean returns the mean account of the teams with requests. A team with a higher one is
// above its share.
func (l *level[T]) mean() time.Duration {
	if l.active == 0 {
		return l.last
	}
	return l.used / time.Duration(l.active)
}

// join returns the account of the team, which gets a request. The account of a team that
// had none is moved to the mean: a team earns no credit while it asks for nothing.
func (l *level[T]) join(team string) *account {
	a := l.accounts[team]
	if a == nil {
		a = &account{team: team}
		l.accounts[team] = a
	}
	if !a.isActive() {
		a.used = l.joined(a.used)
		l.active++
		l.used += a.used
	}
	return a
}

// joined returns the account with which a team takes part that had no requests: not less
// than the mean without the requests that run, so that they count against their teams.
func (l *level[T]) joined(used time.Duration) time.Duration {
	served := l.last
	if l.active > 0 {
		served = (l.used - l.charged) / time.Duration(l.active)
	}
	return min(max(used, served), l.mean()+MaxLead)
}

// add charges slot time to an account, which may be negative, and returns how much the bound
// on its lead has let through.
func (l *level[T]) add(a *account, d time.Duration) (charged time.Duration) {
	a.used += d
	l.used += d
	over := max(a.used-l.mean()-MaxLead, 0)
	a.used -= over
	l.used -= over
	return d - over
}

// leave takes an account without requests out of the mean.
func (l *level[T]) leave(a *account) {
	if a.isActive() {
		return
	}
	l.active--
	l.used -= a.used
	if l.active == 0 {
		l.last = a.used
	}
	if len(l.accounts) >= l.sweepAt {
		l.forget()
		l.sweepAt = 2*len(l.accounts) + 16
	}
}

// forget removes the accounts that say nothing: those without requests that are not above
// the mean.
func (l *level[T]) forget() {
	mean := l.mean()
	maps.DeleteFunc(l.accounts, func(_ string, a *account) bool { return !a.isActive() && a.used <= mean })
	if len(l.accounts)-l.active > maxIdleAccounts {
		maps.DeleteFunc(l.accounts, func(_ string, a *account) bool { return !a.isActive() })
	}
}

// usedBy returns the account with which a new request of the team takes part.
func (l *level[T]) usedBy(team string) time.Duration {
	switch a := l.accounts[team]; {
	case a == nil:
		return l.joined(0)
	case !a.isActive():
		return l.joined(a.used)
	default:
		return a.used
	}
}

func (l *level[T]) cost() time.Duration {
	if l.measured == 0 {
		return assumedCost
	}
	return l.measured
}

// observe takes the measured slot time of a request.
func (l *level[T]) observe(took time.Duration) {
	if l.measured == 0 {
		l.measured = took
	}
	l.measured += time.Duration(costWeight * float64(took-l.measured))
}

// hasTeams reports whether a request of a team waits.
func (l *level[T]) hasTeams() bool {
	return slices.ContainsFunc(l.waiting, func(e *Entry[T]) bool { return e.Team != "" })
}

// rank is the place of a waiting request among those of its priority.
type rank struct {
	late, above bool
	used        time.Duration
	due         time.Time
}

// isLate reports whether a request of mean slot time that starts now ends after the time.
func (l *level[T]) isLate(due, now time.Time) bool { return now.Add(l.measured).After(due) }

// rank returns the rank of a request whose team's account is given.
func (l *level[T]) rank(due time.Time, used time.Duration, now time.Time) rank {
	r := rank{late: l.isLate(due, now), above: used > l.mean(), due: due}
	if r.above {
		r.used = used
	}
	return r
}

func (r rank) compare(o rank) int {
	switch {
	case r.late != o.late:
		return order(o.late)
	case r.above != o.above:
		return order(o.above)
	case r.used != o.used:
		return order(r.used < o.used)
	}
	return r.due.Compare(o.due)
}

// order returns -1 if the first of two comes first, and 1 otherwise.
func order(first bool) int {
	if first {
		return -1
	}
	return 1
}

// next returns the waiting request that goes first. Equal ones go in the order of arrival.
func (l *level[T]) next(now time.Time) *Entry[T] {
	return slices.MinFunc(l.waiting, func(a, b *Entry[T]) int {
		return l.rank(a.Due, a.account.used, now).compare(l.rank(b.Due, b.account.used, now))
	})
}

// countAhead returns how many waiting requests go before a new one.
func (l *level[T]) countAhead(j Job, now time.Time) int {
	own, n := l.rank(j.Due, l.usedBy(j.Team), now), 0
	for _, e := range l.waiting {
		if l.rank(e.Due, e.account.used, now).compare(own) <= 0 {
			n++
		}
	}
	return n
}

// leastUse returns the waiting request that has the least use for a slot: one that cannot
// be answered in time, or else of the team whose account is the highest with its waiting
// requests, the one that is due last.
func (l *level[T]) leastUse(now time.Time) *Entry[T] {
	expected := func(a *account) time.Duration { return a.used + time.Duration(a.waiting)*l.cost() }
	best := l.waiting[0]
	for _, e := range l.waiting[1:] {
		late, bestLate := l.isLate(e.Due, now), l.isLate(best.Due, now)
		switch {
		case late != bestLate:
			if late {
				best = e
			}
		case expected(e.account) != expected(best.account):
			if expected(e.account) > expected(best.account) {
				best = e
			}
		case !e.Due.Before(best.Due):
			best = e
		}
	}
	return best
}
