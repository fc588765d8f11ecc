package admitter

import (
	"errors"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/scheduler"
)

var (
	// ErrNotAdmitted means that a request got no slot before its deadline, or was
	// refused because too many more urgent ones wait. Nothing was sent.
	ErrNotAdmitted = errors.New("no slot at the backend server became free in time")
	// ErrEvicted is the [ErrNotAdmitted] of a request that was refused at once because
	// too many wait that have more use for a slot.
	ErrEvicted error = evicted{}
	// ErrLeft means that the request's caller left while it waited. Nothing was sent.
	ErrLeft = errors.New("the caller left while its request waited for a slot")
)

type evicted struct{}

// Error implements error.
func (evicted) Error() string { return "too many requests wait for a slot at the backend server" }

// Is makes errors.Is match ErrNotAdmitted.
func (evicted) Is(target error) bool { return target == ErrNotAdmitted }

// Urgency orders waiting requests.
type Urgency struct {
	// Priority is compared first; lower numbers are more urgent.
	Priority int
	// Team is whose share of the slots' time the request takes; empty without teams.
	Team string
	// Due is the time after which the answer is late.
	Due time.Time
	// Left is closed when the caller has left; nil if that is not noticed.
	Left <-chan struct{}
}

// Before reports whether u is more urgent than o, teams and lateness left aside.
func (u Urgency) Before(o Urgency) bool {
	if u.Priority != o.Priority {
		return u.Priority < o.Priority
	}
	return u.Due.Before(o.Due)
}

func (u Urgency) hasLeft() bool {
	select {
	case <-u.Left:
		return true
	default:
		return false
	}
}

func (u Urgency) job() scheduler.Job {
	return scheduler.Job{Priority: u.Priority, Team: u.Team, Due: u.Due}
}

// admitted receives nil when the request gets a slot, or the error that ends its wait.
type admitted chan error

// Limiter hands out a limited number of slots.
type Limiter struct {
	clock clockwork.Clock

	mu         sync.Mutex
	limit      int
	queueLimit int
	running    int
	queue      scheduler.Queue[admitted]
	arrivals   arrivals
	use        use
	// inTransaction is the mean slot time of statements of open transactions; 0 if none
	// is known.
	inTransaction time.Duration
}

// New returns a limiter with limit slots, in which up to queueLimit requests may
// wait. Lower values than 1 are taken as 1.
func New(limit, queueLimit int, clock clockwork.Clock) *Limiter {
	return &Limiter{
		clock: clock, limit: max(limit, 1), queueLimit: max(queueLimit, 1), arrivals: newArrivals(clock.Now()),
	}
}

// Acquire waits for a slot until the deadline. When more requests wait than the
// queue limit allows, the one with the least use for a slot is refused at once. The
// error is [ErrNotAdmitted], or [ErrLeft]. A slot that is held longer than the timeout is
// freed without a call of its methods.
func (l *Limiter) Acquire(u Urgency, deadline time.Time, timeout time.Duration) (*Slot, error) {
	l.mu.Lock()
	if u.hasLeft() {
		l.use.countEnd(ErrLeft)
		l.mu.Unlock()
		return nil, ErrLeft
	}
	now := l.clock.Now()
	l.arrivals.add(u, now)
	if l.running < l.limit && l.queue.Len() == 0 {
		s := l.start(u, now, timeout)
		l.mu.Unlock()
		return s, nil
	}
	result := make(admitted, 1)
	e := l.queue.Push(u.job(), result)
	l.evict()
	l.mu.Unlock()
	timer := l.clock.NewTimer(deadline.Sub(l.clock.Now()))
	defer timer.Stop()
	reason := ErrNotAdmitted
	select {
	case err := <-result:
		return l.ended(e, timeout, err)
	case <-timer.Chan():
	case <-u.Left:
		reason = ErrLeft
	}
	l.mu.Lock()
	waiting := l.queue.Remove(e)
	if waiting {
		l.use.countEnd(reason)
	}
	l.mu.Unlock()
	if waiting {
		return nil, reason
	}
	return l.ended(e, timeout, <-result)
}

// ended returns what the caller of Acquire gets after the wait of its request has ended.
func (l *Limiter) ended(e *scheduler.Entry[admitted], timeout time.Duration, err error) (*Slot, error) {
	if err != nil {
		return nil, err
	}
	return l.newSlot(e, l.clock.Now(), timeout), nil
}

// AcquireNow takes a slot without waiting, even beyond the limit. It is for the
// next statement of an open transaction: a refusal would lose the work so far, and
// a wait would leave the transaction's connection idle, which no other request can
// use meanwhile.
func (l *Limiter) AcquireNow(timeout time.Duration) *Slot {
	return l.AcquireNowFor(Urgency{Priority: transactionPriority, Due: l.clock.Now()}, timeout)
}

// AcquireNowFor is AcquireNow for a statement whose slot time counts as use of the
// priority and team.
func (l *Limiter) AcquireNowFor(u Urgency, timeout time.Duration) *Slot {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.arrivals.add(Urgency{Priority: transactionPriority, Due: now}, now)
	s := l.start(u, now, timeout)
	s.isInTransaction = true
	return s
}

// transactionPriority is that of the next statement of an open transaction, which gets
// its slot before all others.
const transactionPriority = math.MinInt

// start takes a slot. The caller holds mu.
func (l *Limiter) start(u Urgency, now time.Time, timeout time.Duration) *Slot {
	l.running++
	return l.newSlot(l.queue.Start(u.job()), now, timeout)
}

// evict refuses waiters while there are too many. The caller holds mu.
func (l *Limiter) evict() {
	for l.queue.Len() > l.queueLimit {
		l.use.countEnd(ErrEvicted)
		l.queue.Evict(l.clock.Now()).Value <- ErrEvicted
	}
}

// SetLimits changes the number of slots and how many requests may wait. Lower
// values than 1 are taken as 1.
func (l *Limiter) SetLimits(limit, queueLimit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit, l.queueLimit = max(limit, 1), max(queueLimit, 1)
	l.admit()
	l.evict()
}

// admit gives free slots to the waiters that are next. The caller holds mu.
func (l *Limiter) admit() {
	for l.running < l.limit {
		e, late := l.queue.Pop(l.clock.Now())
		if e == nil {
			return
		}
		if late {
			l.use.Late++
		}
		l.running++
		e.Value <- nil
	}
}

// Waiting returns how many requests wait for a slot.
func (l *Limiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Len()
}

// Stats describes the load of a limiter.
type Stats struct {
	// Limit is the number of slots, Running how many are taken. Running may exceed
	// Limit because of AcquireNow.
	Limit, Running int
	// QueuedAhead is how many waiting requests would get a slot before a new one.
	QueuedAhead int
	// Overtakers are those that will arrive later and get a slot before the new one;
	// empty while a slot is free.
	Overtakers []Overtakers
}

// Stats returns the load that a request of the given urgency would find.
func (l *Limiter) Stats(u Urgency) Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	s := Stats{Limit: l.limit, Running: l.running, QueuedAhead: l.queue.CountAhead(u.job(), now)}
	if l.running < l.limit {
		return s
	}
	s.Overtakers = l.overtakersOf(u, now)
	if ahead, ok := l.queue.CountAheadAtFloor(u.job(), now); ok && l.isFloorDue(u, s.Overtakers) {
		s.QueuedAhead, s.Overtakers = ahead, nil
	}
	return s
}

// isFloorDue reports whether requests that overtake the given one for good take so much
// slot time that those of its priority get no more than the floor.
func (l *Limiter) isFloorDue(u Urgency, overtakers []Overtakers) bool {
	busy := 0.0
	for _, o := range overtakers {
		if o.For == math.MaxInt64 {
			busy += o.Rate * l.cost(o.priority).Seconds()
		}
	}
	return busy >= float64(l.limit)*(1-scheduler.Floor)
}
