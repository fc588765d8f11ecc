package budgeter

import "time"

// Account is what one connection holds. Its methods are called by one goroutine at a time.
type Account struct {
	budget  *Budget
	onEvict func()
	// message is the memory of the message or answer that is being transferred, kept
	// that of the connection's state.
	message, kept int64
	// transferred is what the peer has sent or read since the last progress.
	transferred int64

	// The budget's mutex guards the following; reserved, which is what message and kept
	// exceed the floor by, is changed only by the owner or while it waits.
	reserved   int64
	progressed time.Time
	running    bool
	evicted    bool
	waiting    *waiter
}

// NewAccount returns an account that holds nothing. onEvict closes the connection; it is
// called in a goroutine of its own. An account without it is not evicted.
func (b *Budget) NewAccount(onEvict func()) *Account { return &Account{budget: b, onEvict: onEvict} }

// missing returns how much more must be reserved for the given amounts; negative if less.
func (a *Account) missing(message, kept int64) int64 {
	return max(message+kept-a.budget.cfg.Floor, 0) - a.reserved
}

// Reserve waits until the account may hold a message of the given size, and sets it.
func (a *Account) Reserve(message int64) error {
	bytes := a.missing(message, a.kept)
	if bytes == 0 {
		a.message = message
		return nil
	}
	b := a.budget
	b.mu.Lock()
	if a.evicted && bytes > 0 {
		b.mu.Unlock()
		return ErrEvicted
	}
	if bytes < 0 || len(b.waiters) == 0 && b.fits(bytes) {
		a.progressed = b.cfg.Clock.Now()
		b.add(a, bytes)
		b.grant()
		b.mu.Unlock()
		a.message = message
		return nil
	}
	w := &waiter{account: a, bytes: bytes, granted: make(chan struct{})}
	a.waiting = w
	b.waiters = append(b.waiters, w)
	b.mu.Unlock()
	if err := b.await(w); err != nil {
		return err
	}
	a.message = message
	return nil
}

// Charge sets the size of a message that is in memory already. If the budget is overdrawn
// then, accounts that make the least progress are evicted, perhaps this one.
func (a *Account) Charge(message int64) error {
	bytes := a.missing(message, a.kept)
	a.message = message
	if bytes == 0 {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > 0 {
		a.progressed = b.cfg.Clock.Now()
	}
	b.add(a, bytes)
	if bytes > 0 {
		b.makeRoom(0, 0, nil)
	}
	b.grant()
	if a.evicted {
		return ErrEvicted
	}
	return nil
}

// Keep adds to the memory of the connection's state; bytes may be negative. It does not
// wait: it fails if the budget does not have the memory.
func (a *Account) Keep(bytes int64) error {
	more := a.missing(a.message, a.kept+bytes)
	if more == 0 {
		a.kept += bytes
		return nil
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if more > 0 && !b.fits(more) {
		b.makeRoom(more, minStall, a)
		if b.used-b.freeing+more > b.cfg.Bytes {
			b.cfg.Refusals.Add(NoMemory)
			return ErrExhausted
		}
	}
	a.kept += bytes
	b.add(a, more)
	b.grant()
	return nil
}

// progressParts is the number of parts of the reserved memory of which one must be transferred
// to count as progress. A peer that sends a message of 16 MiB at 8 KiB/s would otherwise hold
// 96 MiB for half an hour, whoever waits for memory.
const progressParts = 512

// Progress notes that the peer has sent or read bytes.
func (a *Account) Progress(bytes int64) {
	a.transferred += bytes
	if a.reserved == 0 || a.transferred < a.reserved/progressParts {
		return
	}
	a.transferred = 0
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.progressed = b.cfg.Clock.Now()
}

// SetRunning marks the account's request as being processed, or not any more. It is not
// evicted meanwhile.
func (a *Account) SetRunning(running bool) {
	if a.reserved == 0 && !a.running {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.running, a.progressed = running && !a.evicted, b.cfg.Clock.Now()
}

// Close returns everything that the account holds. It must not be used any more.
func (a *Account) Close() {
	a.message, a.kept = 0, 0
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(a, -a.reserved)
	a.evicted = true
	b.grant()
}

func (a *Account) isEvicted() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}
