package budgeter

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
)

const (
	// MaxWait limits the wait for memory. Callers give up after about as long.
	MaxWait = 2 * time.Second
	// minStall is how long an account must have made no progress before it is evicted.
	// It covers a lost packet, which is sent again after 200 ms.
	minStall = 300 * time.Millisecond
	// minWaiterStall replaces minStall for an account that itself waits for memory.
	minWaiterStall = time.Second
	// evictionInterval is the pause between two attempts of a waiter to evict another.
	evictionInterval = 50 * time.Millisecond
)

var (
	// ErrExhausted means that the budget does not have the memory.
	ErrExhausted = errors.New("no memory is left for the message")
	// ErrEvicted means that the account was evicted and its connection closed.
	ErrEvicted = errors.New("connection was closed to free memory")
)

// Config configures a [Budget].
type Config struct {
	// Bytes is the memory that all accounts share, Floor what each may use besides.
	Bytes, Floor int64
	Clock        clockwork.Clock
	Metrics      metrics.Registry
	Refusals     *Refusals
}

// Budget is memory that is shared by the accounts of a process.
type Budget struct {
	cfg          Config
	gauge, peak  metrics.Gauge
	waitsCounter metrics.Counter

	mu sync.Mutex
	// used is what all accounts have reserved; freeing is the part of evicted accounts
	// that are not closed yet.
	used, freeing int64
	waiters       []*waiter
	// holders are the accounts that have reserved something.
	holders map[*Account]struct{}
}

// waiter waits until its account has reserved more bytes.
type waiter struct {
	account *Account
	bytes   int64
	// granted is closed when the bytes are reserved or the account is evicted.
	granted chan struct{}
}

// New returns a budget of which nothing is used.
func New(cfg Config) *Budget {
	return &Budget{
		cfg:          cfg,
		gauge:        metrics.GetOrRegisterGauge("budget.used_bytes", cfg.Metrics),
		peak:         metrics.GetOrRegisterGauge("budget.peak_bytes", cfg.Metrics),
		waitsCounter: metrics.GetOrRegisterCounter("budget.waits", cfg.Metrics),
		holders:      map[*Account]struct{}{},
	}
}

// Refusals returns the counters of what the limits refuse.
func (b *Budget) Refusals() *Refusals { return b.cfg.Refusals }

// Clock returns the budget's clock.
func (b *Budget) Clock() clockwork.Clock { return b.cfg.Clock }

// Bytes returns the memory that all accounts share.
func (b *Budget) Bytes() int64 { return b.cfg.Bytes }

// Used returns what all accounts have reserved, in bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Floor returns what each account may hold without the budget, in bytes.
func (b *Budget) Floor() int64 { return b.cfg.Floor }

// add changes what an account has reserved. The caller holds mu.
func (b *Budget) add(a *Account, bytes int64) {
	a.reserved += bytes
	b.used += bytes
	if a.evicted {
		b.freeing += bytes
	}
	if a.reserved > 0 {
		b.holders[a] = struct{}{}
	} else {
		delete(b.holders, a)
	}
	b.gauge.Update(b.used)
	if b.used > b.peak.Value() {
		b.peak.Update(b.used)
	}
}

// fits reports whether the bytes are left. A demand larger than the whole budget is met
// when nothing else is used. The caller holds mu.
func (b *Budget) fits(bytes int64) bool { return b.used+bytes <= b.cfg.Bytes || b.used == 0 }

// grant gives waiters what they wait for, in order. The caller holds mu.
func (b *Budget) grant() {
	for len(b.waiters) > 0 && b.fits(b.waiters[0].bytes) {
		w := b.waiters[0]
		b.waiters = slices.Delete(b.waiters, 0, 1)
		w.account.waiting = nil
		w.account.progressed = b.cfg.Clock.Now()
		b.add(w.account, w.bytes)
		close(w.granted)
	}
}

// await waits until w is granted.
func (b *Budget) await(w *waiter) error {
	b.waitsCounter.Inc(1)
	deadline := b.cfg.Clock.Now().Add(MaxWait)
	for {
		b.mu.Lock()
		if len(b.waiters) > 0 && b.waiters[0] == w {
			b.makeRoom(w.bytes, minStall, w.account)
		}
		b.mu.Unlock()
		select {
		case <-w.granted:
			if w.account.isEvicted() {
				return ErrEvicted
			}
			return nil
		case <-b.cfg.Clock.After(evictionInterval):
		}
		if b.cfg.Clock.Now().After(deadline) && b.withdraw(w) {
			b.cfg.Refusals.Add(NoMemory)
			return ErrExhausted
		}
	}
}

// withdraw ends a wait. It returns false if the wait was met meanwhile.
func (b *Budget) withdraw(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remove(w)
}

// remove takes w out of the queue; false if it was not there. The caller holds mu.
func (b *Budget) remove(w *waiter) bool {
	i := slices.Index(b.waiters, w)
	if i < 0 {
		return false
	}
	b.waiters = slices.Delete(b.waiters, i, i+1)
	w.account.waiting = nil
	b.grant()
	return true
}

// makeRoom evicts accounts until the bytes will be left. Only those that have made no
// progress for the duration are evicted, and not the account except. The caller holds mu.
func (b *Budget) makeRoom(bytes int64, stall time.Duration, except *Account) {
	for b.used-b.freeing > 0 && b.used-b.freeing+bytes > b.cfg.Bytes {
		victim := b.victim(stall, except)
		if victim == nil {
			return
		}
		b.evict(victim)
	}
}

// victim returns the account with the largest product of memory and time without
// progress; nil if there is none. The caller holds mu.
func (b *Budget) victim(stall time.Duration, except *Account) *Account {
	var (
		worst *Account
		most  float64
		now   = b.cfg.Clock.Now()
	)
	for a := range b.holders {
		needed := stall
		if a.waiting != nil {
			needed = max(stall, minWaiterStall)
		}
		stalled := now.Sub(a.progressed)
		if a == except || a.onEvict == nil || a.evicted || a.running || stalled < needed {
			continue
		}
		if score := float64(a.reserved) * float64(stalled+time.Millisecond); score > most {
			worst, most = a, score
		}
	}
	return worst
}

// evict closes the account's connection. Its memory is free when the account is closed.
// The caller holds mu.
func (b *Budget) evict(a *Account) {
	a.evicted = true
	b.freeing += a.reserved
	if w := a.waiting; w != nil {
		b.remove(w)
		close(w.granted)
	}
	b.cfg.Refusals.Add(Evicted)
	go a.onEvict()
}
