package approver

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/storer"
)

// memoryStore is a storer.Store in memory that can lose responses.
type memoryStore struct {
	storer.Store
	mu       sync.Mutex
	revision int64
	entries  map[string]storer.Entry
	// commits counts the transactions that were received.
	commits int
	// onCommit chooses the behavior of the nth commit; nil means
	// commitNormally.
	onCommit func(n int) commitBehavior
	// beforeCommit runs before a transaction is received.
	beforeCommit func()
}

type commitBehavior int

const (
	commitNormally commitBehavior = iota
	// loseResponse runs the transaction and loses the response.
	loseResponse
	// loseRequest does not run the transaction and reports a lost response.
	loseRequest
	// crash runs the transaction and reports that the operator's process
	// crashed.
	crash
	// failBeforeSending fails before the transaction is sent.
	failBeforeSending
)

var errCrashed = errors.New("operator's process crashed")

func newMemoryStore() *memoryStore {
	return &memoryStore{entries: map[string]storer.Entry{}}
}

func (m *memoryStore) Get(_ context.Context, key string) (storer.Entry, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	return e, ok, nil
}

func (m *memoryStore) List(_ context.Context, prefix string) ([]storer.Entry, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []storer.Entry
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b storer.Entry) int { return strings.Compare(a.Key, b.Key) })
	return list, m.revision, nil
}

func (m *memoryStore) Commit(_ context.Context, tx storer.Transaction) (storer.Result, error) {
	if m.beforeCommit != nil {
		m.beforeCommit()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commits++
	f := commitNormally
	if m.onCommit != nil {
		f = m.onCommit(m.commits)
	}
	switch f {
	case loseRequest:
		return storer.Result{}, &storer.UnknownOutcomeError{Call: "txn", Cause: errors.New("timeout")}
	case failBeforeSending:
		return storer.Result{}, storer.ErrUnavailable
	}
	succeeded := tx.Apply(func(key string) int64 { return m.entries[key].ModRevision }, m.put, m.remove)
	if succeeded {
		m.revision++
	}
	switch f {
	case loseResponse:
		return storer.Result{}, &storer.UnknownOutcomeError{Call: "txn", Cause: errors.New("connection reset")}
	case crash:
		return storer.Result{}, errCrashed
	}
	return storer.Result{Succeeded: succeeded, Revision: m.revision}, nil
}

func (m *memoryStore) put(key string, value []byte) {
	m.entries[key] = storer.Entry{Key: key, Value: slices.Clone(value), ModRevision: m.revision + 1}
}

func (m *memoryStore) remove(key string) { delete(m.entries, key) }

// forceValue sets a value without any check, as an attacker with access to the
// store could.
func (m *memoryStore) forceValue(key string, value []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.put(key, value)
	m.revision++
}

func (m *memoryStore) has(key string) bool {
	_, ok, _ := m.Get(context.Background(), key)
	return ok
}

// fixture holds the keys of two co-owners and one operator over one store.
type fixture struct {
	store    *memoryStore
	genesis  []Owner
	coop     Signer
	council  Signer
	proposer *Proposals
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	b := &fixture{store: newMemoryStore(), coop: newSigner(t), council: newSigner(t)}
	b.genesis = []Owner{
		{Name: "cooperative", Keys: []OwnerKey{b.coop.Key()}},
		{Name: "council-unit", Keys: []OwnerKey{b.council.Key()}},
	}
	b.proposer = b.operator(t, "ann")
	return b
}

func newSigner(t testing.TB) Signer {
	t.Helper()
	s, err := GenerateSigner()
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (b *fixture) operator(t testing.TB, name string) *Proposals {
	t.Helper()
	p, err := NewProposals(Config{Store: b.store, Genesis: b.genesis, Operator: name})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func ctx(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// propose proposes and returns the envelope.
func (b *fixture) propose(t testing.TB, part, content string) Envelope {
	t.Helper()
	p, _, err := b.proposer.Propose(ctx(t), part, []byte(content))
	if err != nil {
		t.Fatalf("propose %s: %v", part, err)
	}
	return p.Envelope
}

func (b *fixture) approve(t testing.TB, part string, signer Signer) (ApproveResult, error) {
	t.Helper()
	r, err := b.proposer.Review(ctx(t), part)
	if err != nil {
		return 0, err
	}
	return b.proposer.Approve(ctx(t), r, signer)
}

// activate proposes content and activates it with both approvals.
func (b *fixture) activate(t testing.TB, part, content string) Envelope {
	t.Helper()
	b.propose(t, part, content)
	for _, s := range []Signer{b.coop, b.council} {
		if _, err := b.approve(t, part, s); err != nil {
			t.Fatalf("approve %s: %v", part, err)
		}
	}
	return b.active(t, part)
}

func (b *fixture) active(t testing.TB, part string) Envelope {
	t.Helper()
	e, err := b.proposer.Active(ctx(t), part)
	if err != nil {
		t.Fatal(err)
	}
	if e == nil {
		return Envelope{}
	}
	return *e
}

func (b *fixture) activateGenesis(t testing.TB) Envelope {
	t.Helper()
	return b.activate(t, ownersPart, FormatOwners(b.genesis))
}

const partA = `part = "a"
[[group]]
name = "a"
database = "a"
server_user = "marigold"
server = [{ name = "a-1", address = "127.1.1.1:5432", zone = "z", connection_limit = LIMIT }]
`

func contentA(limit string) string { return strings.ReplaceAll(partA, "LIMIT", limit) }
