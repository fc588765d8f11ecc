// Package storertest provides a store in memory, for tests of the packages that
// use [storer.Store]. It can be unavailable, lose responses, expire leases early,
// stop reporting changes to watches, and be restored from an older copy of itself.
package storertest

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/storer"
)

// Memory implements [storer.Store] and [storer.StaleLister].
type Memory struct {
	mu      sync.Mutex
	entries map[string]storer.Entry
	leases  map[int64]time.Time
	// ttls has the lifetime of each lease that was granted.
	ttls      map[int64]time.Duration
	revision  int64
	lastLease int64
	// epoch counts the restores from a copy, from 1.
	epoch   int64
	changed chan struct{}
	history []storer.Change
	down    bool
	// loseResponses makes writes take effect and fail with an unknown outcome.
	loseResponses bool
	// silentWatch makes watches report no changes.
	silentWatch bool
	calls       map[string]int
}

// New returns an empty store.
func New() *Memory {
	return &Memory{
		entries: map[string]storer.Entry{}, leases: map[int64]time.Time{}, ttls: map[int64]time.Duration{}, revision: 1, epoch: 1,
		changed: make(chan struct{}), calls: map[string]int{},
	}
}

// SetDown makes all calls and watches fail, or work again.
func (m *Memory) SetDown(down bool) { m.update(func() { m.down = down }) }

// SetLoseResponses makes writes take effect and fail with an UnknownOutcomeError.
func (m *Memory) SetLoseResponses(lose bool) { m.update(func() { m.loseResponses = lose }) }

// SetSilentWatch makes watches miss all changes, without an error.
func (m *Memory) SetSilentWatch(silent bool) { m.update(func() { m.silentWatch = silent }) }

// ExpireLeases ends all leases at once, as a store may while their holders cannot
// reach it.
func (m *Memory) ExpireLeases() {
	m.update(func() {
		for id := range m.leases {
			m.endLease(id)
		}
	})
}

// Copy is the data of a store at one moment.
type Copy struct {
	entries             map[string]storer.Entry
	leases              map[int64]time.Time
	history             []storer.Change
	revision, lastLease int64
}

// Copy returns a copy of the present data.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{maps.Clone(m.entries), maps.Clone(m.leases), slices.Clone(m.history), m.revision, m.lastLease}
}

// Restore replaces the data by those of the copy and begins a new epoch. Revisions and
// numbers of leases go back and are given out again, and watches end.
func (m *Memory) Restore(c Copy) {
	m.update(func() {
		m.entries, m.leases, m.history = maps.Clone(c.entries), maps.Clone(c.leases), slices.Clone(c.history)
		m.revision, m.lastLease = c.revision, c.lastLease
		m.epoch++
	})
}

// Epoch returns the number of the present epoch. It rises with each Restore.
func (m *Memory) Epoch() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch
}

// Calls returns how often a method was called: "get", "list", "list_stale",
// "commit", "grant", "keep" or "revoke".
func (m *Memory) Calls(method string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls[method]
}

// Put writes a key.
func (m *Memory) Put(key string, value []byte) {
	m.update(func() {
		m.revision++
		m.put(key, value, 0)
	})
}

// Delete removes a key.
func (m *Memory) Delete(key string) {
	m.update(func() {
		m.revision++
		m.remove(key)
	})
}

func (m *Memory) update(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) put(key string, value []byte, lease int64) {
	e := storer.Entry{Key: key, Value: value, ModRevision: m.revision, Lease: lease, CreateRevision: m.revision}
	if old, ok := m.entries[key]; ok {
		e.CreateRevision = old.CreateRevision
	}
	m.entries[key] = e
	m.history = append(m.history, storer.Change{Entry: e})
}

func (m *Memory) remove(key string) {
	delete(m.entries, key)
	m.history = append(m.history, storer.Change{Entry: storer.Entry{Key: key, ModRevision: m.revision}, Deleted: true})
}

func (m *Memory) endLease(id int64) {
	delete(m.leases, id)
	m.revision++
	for key, e := range m.entries {
		if e.Lease == id {
			m.remove(key)
		}
	}
}

// beginCall counts a call, expires leases and fails if the store is down. The
// caller holds mu.
func (m *Memory) beginCall(method string) error {
	m.calls[method]++
	for id, until := range m.leases {
		if !time.Now().Before(until) {
			m.endLease(id)
		}
	}
	if m.down {
		return storer.ErrUnavailable
	}
	return nil
}

// endWrite returns the error of a write that has taken effect.
func (m *Memory) endWrite() error {
	if m.loseResponses {
		return &storer.UnknownOutcomeError{Call: "write", Cause: errors.New("answer lost")}
	}
	return nil
}

// Get implements [storer.Store].
func (m *Memory) Get(_ context.Context, key string) (storer.Entry, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall("get"); err != nil {
		return storer.Entry{}, false, err
	}
	e, ok := m.entries[key]
	return e, ok, nil
}

// List implements [storer.Store].
func (m *Memory) List(_ context.Context, prefix string) ([]storer.Entry, int64, error) {
	return m.list("list", prefix)
}

// ListStale implements [storer.StaleLister].
func (m *Memory) ListStale(_ context.Context, prefix string) ([]storer.Entry, int64, error) {
	return m.list("list_stale", prefix)
}

func (m *Memory) list(method, prefix string) ([]storer.Entry, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(method); err != nil {
		return nil, 0, err
	}
	var out []storer.Entry
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, m.entries[key])
		}
	}
	return out, m.revision, nil
}

// Commit implements [storer.Store].
func (m *Memory) Commit(_ context.Context, tx storer.Transaction) (storer.Result, error) {
	var result storer.Result
	var err error
	m.update(func() {
		if err = m.beginCall("commit"); err != nil {
			return
		}
		holds := true
		tx.Each(func(key string, revision int64) { holds = holds && m.entries[key].ModRevision == revision },
			func(string, []byte, int64) {}, func(string) {})
		if !holds {
			return
		}
		m.revision++
		tx.Each(func(string, int64) {}, m.put, m.remove)
		result = storer.Result{Succeeded: true, Revision: m.revision}
		err = m.endWrite()
	})
	return result, err
}

// GrantLease implements [storer.Store].
func (m *Memory) GrantLease(_ context.Context, ttl time.Duration) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall("grant"); err != nil {
		return 0, err
	}
	m.lastLease++
	m.leases[m.lastLease], m.ttls[m.lastLease] = time.Now().Add(ttl), ttl
	return m.lastLease, m.endWrite()
}

// KeepAlive implements [storer.Store].
func (m *Memory) KeepAlive(_ context.Context, lease int64) (time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall("keep"); err != nil {
		return 0, err
	}
	if _, ok := m.leases[lease]; !ok {
		return 0, storer.ErrLeaseNotFound
	}
	m.leases[lease] = time.Now().Add(m.ttls[lease])
	return m.ttls[lease], m.endWrite()
}

// Revoke implements [storer.Store].
func (m *Memory) Revoke(_ context.Context, lease int64) error {
	var err error
	m.update(func() {
		if err = m.beginCall("revoke"); err == nil {
			m.endLease(lease)
		}
	})
	return err
}

// Watch implements [storer.Store].
func (m *Memory) Watch(ctx context.Context, prefix string, from int64) (*storer.Watch, error) {
	return storer.NewWatch(ctx, func(ctx context.Context, send func(storer.Batch) error) error {
		sent, epoch := from-1, m.Epoch()
		for {
			m.mu.Lock()
			changed, down := m.changed, m.down
			if sent > m.revision || epoch != m.epoch {
				m.mu.Unlock()
				return &storer.CompactedError{Revision: from}
			}
			b := storer.Batch{Revision: m.revision}
			for _, c := range m.history {
				if c.Entry.ModRevision > sent && strings.HasPrefix(c.Entry.Key, prefix) && !m.silentWatch {
					b.Changes = append(b.Changes, c)
				}
			}
			sent = m.revision
			m.mu.Unlock()
			if down {
				return storer.ErrUnavailable
			}
			if len(b.Changes) > 0 {
				if err := send(b); err != nil {
					return err
				}
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}), nil
}
