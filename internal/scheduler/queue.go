package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Floor is the share of the slots' time that a priority keeps while requests of teams
	// wait there. At a server that runs 150 requests in a second it is about seven of them:
	// callers that retry for some seconds get an answer, and what more urgent callers lose
	// is less than the spread of the service times.
	Floor = 0.05
	// MaxLead bounds how far a team's account may be above the mean. Slots that nobody else
	// wanted are not held against a team for longer than a few requests take.
	MaxLead = 100 * time.Millisecond
	// assumedCost is the slot time of a request while none has been measured.
	assumedCost = 20 * time.Millisecond
)

// Job describes a request for a slot.
type Job struct {
	// Priority is compared first; lower numbers are more urgent.
	Priority int
	// Team is the account that the slot time is charged to; empty without teams.
	Team string
	// Due is the time after which the answer is late.
	Due time.Time
}

// Entry is a request that waits for a slot or has one.
type Entry[T any] struct {
	Job
	Value T

	seq     uint64
	account *account
	waiting bool
	// charged is the slot time charged so far.
	charged time.Duration
}

// Queue holds the waiting requests and the accounts of the teams. It does no locking.
type Queue[T any] struct {
	// levels are the priorities, the most urgent first.
	levels  []*level[T]
	seq     uint64
	waiting int
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.waiting }

// Push adds a waiting request.
func (q *Queue[T]) Push(j Job, v T) *Entry[T] {
	e := q.newEntry(j, v)
	l := q.level(j.Priority)
	e.waiting, e.account = true, l.join(j.Team)
	e.account.waiting++
	l.waiting = append(l.waiting, e)
	q.waiting++
	return e
}

// Start gives a slot to a request that does not wait.
func (q *Queue[T]) Start(j Job) *Entry[T] {
	var v T
	e := q.newEntry(j, v)
	l := q.level(j.Priority)
	e.account = l.join(j.Team)
	q.charge(l, e)
	return e
}

// Pop gives a slot to the request that is next; nil if none waits. It reports whether the
// answer will be late.
func (q *Queue[T]) Pop(now time.Time) (e *Entry[T], late bool) {
	l := q.nextLevel()
	if l == nil {
		return nil, false
	}
	e = l.next(now)
	late = l.isLate(e.Due, now)
	q.charge(l, e)
	q.unlink(l, e)
	return e, late
}

// Remove removes a waiting request and reports whether it still waited.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if !e.waiting {
		return false
	}
	l := q.level(e.Priority)
	q.unlink(l, e)
	l.leave(e.account)
	return true
}

// Evict removes and returns the waiting request with the least use for a slot; nil if none
// waits. It is of the least urgent priority; there one that cannot be answered in time, or
// else the last one of the team that is furthest above its share. The last request of a
// team's priority stays while more urgent ones of teams have several, so that its floor is
// not lost.
func (q *Queue[T]) Evict(now time.Time) *Entry[T] {
	l := q.levelToEvict()
	if l == nil {
		return nil
	}
	e := l.leastUse(now)
	q.Remove(e)
	return e
}

// levelToEvict returns the priority of which a request is refused when too many wait; nil
// if none waits. Requests without a team, such as those of the instance itself, give up no
// place for the floor of a less urgent priority.
func (q *Queue[T]) levelToEvict() *level[T] {
	var least *level[T]
	for _, l := range slices.Backward(q.levels) {
		switch {
		case len(l.waiting) == 0:
		case !l.hasTeams():
			return cmp.Or(least, l)
		case len(l.waiting) > 1:
			return l
		case least == nil:
			least = l
		}
	}
	return least
}

// Finish ends the use of a slot after the given time and charges the time to the team. A
// slot that was not answered was freed by its timeout, which says nothing about the time
// that other requests take.
func (q *Queue[T]) Finish(e *Entry[T], took time.Duration, answered bool) {
	l := q.level(e.Priority)
	l.charged -= e.charged
	l.add(e.account, took-e.charged)
	if answered {
		l.observe(took)
	}
	e.account.running--
	l.leave(e.account)
}

// CountAhead returns how many waiting requests would get a slot before a new one.
func (q *Queue[T]) CountAhead(j Job, now time.Time) int {
	n := 0
	for _, l := range q.levels {
		switch {
		case l.priority < j.Priority:
			n += len(l.waiting)
		case l.priority == j.Priority:
			n += l.countAhead(j, now)
		}
	}
	return n
}

// CountAheadAtFloor returns how many requests get a slot before a new one of a team when
// more urgent ones take all but the floor of its priority; false without a team.
func (q *Queue[T]) CountAheadAtFloor(j Job, now time.Time) (int, bool) {
	if j.Team == "" {
		return 0, false
	}
	own := 0
	if l := q.find(j.Priority); l != nil {
		own = l.countAhead(j, now)
	}
	return int(float64(own+1)/Floor) - 1, true
}

// Lead returns by how much the team's account at the priority exceeds its share, and how
// many teams have requests there; 0 within the share.
func (q *Queue[T]) Lead(priority int, team string) (lead time.Duration, teams int) {
	l := q.find(priority)
	if l == nil {
		return 0, 0
	}
	return max(l.usedBy(team)-l.mean(), 0), l.active
}

// Cost returns the mean slot time of requests of the priority.
func (q *Queue[T]) Cost(priority int) time.Duration {
	if l := q.find(priority); l != nil {
		return l.cost()
	}
	return assumedCost
}

// Accounts returns the number of accounts that are kept.
func (q *Queue[T]) Accounts() int {
	n := 0
	for _, l := range q.levels {
		n += len(l.accounts)
	}
	return n
}

func (q *Queue[T]) newEntry(j Job, v T) *Entry[T] {
	q.seq++
	return &Entry[T]{Job: j, Value: v, seq: q.seq}
}

// unlink takes a request out of those that wait.
func (q *Queue[T]) unlink(l *level[T], e *Entry[T]) {
	i := slices.Index(l.waiting, e)
	l.waiting = slices.Delete(l.waiting, i, i+1)
	e.waiting = false
	e.account.waiting--
	q.waiting--
}

// charge charges the expected slot time of a request to its team when it gets its slot,
// so that further ones of the team do not count as within the share until it ends.
func (q *Queue[T]) charge(l *level[T], e *Entry[T]) {
	cost := l.cost()
	e.account.running++
	e.charged = l.add(e.account, cost)
	l.charged += e.charged
	l.credit = max(l.credit-cost, 0)
	for _, other := range q.levels {
		if other.priority > l.priority && other.hasTeams() {
			other.credit = min(other.credit+time.Duration(Floor*float64(cost)), other.cost())
		}
	}
}

// nextLevel returns the most urgent priority at which requests wait, or a less urgent one
// whose floor is due.
func (q *Queue[T]) nextLevel() *level[T] {
	var first *level[T]
	for _, l := range q.levels {
		switch {
		case len(l.waiting) == 0:
		case first == nil:
			first = l
		case l.hasTeams() && l.credit >= l.cost():
			return l
		}
	}
	return first
}

func (q *Queue[T]) find(priority int) *level[T] {
	for _, l := range q.levels {
		if l.priority == priority {
			return l
		}
	}
	return nil
}

func (q *Queue[T]) level(priority int) *level[T] {
	if l := q.find(priority); l != nil {
		return l
	}
	l := &level[T]{priority: priority, accounts: map[string]*account{}}
	i := 0
	for i < len(q.levels) && q.levels[i].priority < priority {
		i++
	}
	q.levels = slices.Insert(q.levels, i, l)
	return l
}
