package admitter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/scheduler"
)

// transactionCostWeight is the weight of a new sample in the mean slot time of statements
// of open transactions: about the last ten count.
const transactionCostWeight = 0.2

// Slot is the right to run one request. It is freed once, by one of its methods or by its
// timeout: a server whose answers are lost can run other requests long before the callers
// give up, and without the timeout a few lost answers would keep all other requests waiting.
type Slot struct {
	limiter *Limiter
	entry   *scheduler.Entry[admitted]
	taken   time.Time
	timer   clockwork.Timer
	once    sync.Once
	// isInTransaction is set for a statement of an open transaction.
	isInTransaction bool
}

// newSlot returns a slot that was taken at the time.
func (l *Limiter) newSlot(e *scheduler.Entry[admitted], taken time.Time, timeout time.Duration) *Slot {
	s := &Slot{limiter: l, entry: e, taken: taken}
	s.timer = l.clock.AfterFunc(timeout, func() { s.free(false) })
	return s
}

// Release frees the slot of a request that the server has answered.
func (s *Slot) Release() { s.end(true) }

// Cancel frees the slot of a request that was not sent. How long the slot was held says
// nothing about the time that requests take.
func (s *Slot) Cancel() { s.end(false) }

func (s *Slot) end(isAnswered bool) {
	s.timer.Stop()
	s.free(isAnswered)
}

func (s *Slot) free(isAnswered bool) {
	s.once.Do(func() {
		l := s.limiter
		l.mu.Lock()
		defer l.mu.Unlock()
		took := l.clock.Since(s.taken)
		l.queue.Finish(s.entry, took, isAnswered)
		if s.isInTransaction && isAnswered {
			l.observeInTransaction(took)
		}
		l.use.addSlotTime(s.entry.Team, took)
		l.running--
		l.admit()
	})
}

// observeInTransaction takes the measured slot time of a statement of an open transaction.
// The caller holds mu.
func (l *Limiter) observeInTransaction(took time.Duration) {
	if l.inTransaction == 0 {
		l.inTransaction = took
	}
	l.inTransaction += time.Duration(transactionCostWeight * float64(took-l.inTransaction))
}

// cost returns the mean slot time of requests of the priority. The caller holds mu.
func (l *Limiter) cost(priority int) time.Duration {
	if priority == transactionPriority && l.inTransaction > 0 {
		return l.inTransaction
	}
	return l.queue.Cost(priority)
}
