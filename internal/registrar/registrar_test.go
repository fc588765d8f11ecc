package registrar_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/registrar"
	"marigoldhub.example/hub/internal/storer"
	"marigoldhub.example/hub/internal/storer/storertest"
)

func start(t *testing.T, store storer.Store, name, zone string) *registrar.Registrar {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	return registrar.New(registrar.Config{
		Store: store, Self: registrar.Instance{Name: name, Address: name, Zone: zone}, Clock: clockwork.NewRealClock(), Log: log,
	})
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within 10 s: %s", what)
}

// Guards against connection limits that ignore other instances, and against a list
// that becomes empty while the store is down.
func TestInstancesKnowEachOther(t *testing.T) {
	store := storertest.New()
	store.Put(registrar.Prefix+"odd", []byte("{"))
	a := start(t, store, "a", "z1")
	defer a.Close()
	eventually(t, "a knows the list", a.HasList)
	changed := a.Changed()
	b := start(t, store, "b", "z2")
	eventually(t, "a knows b", func() bool { return len(a.Others()) == 1 && a.Others()[0].Name == "b" })
	// Connection limits follow the list at once.
	select {
	case <-changed:
	default:
		t.Error("the change of the list was not signaled")
	}
	if near, far := a.Count("z1"); near != 1 || far != 1 {
		t.Errorf("a counts %d near and %d far", near, far)
	}
	store.SetDown(true)
	time.Sleep(700 * time.Millisecond)
	if len(a.Others()) != 1 {
		t.Error("b was removed while the store is down")
	}
	store.SetDown(false)
	// Entries whose leases the store ended return.
	store.ExpireLeases()
	eventually(t, "both are listed again", func() bool { return len(a.Others()) == 1 && len(b.Others()) == 1 })
	b.Close()
	eventually(t, "a sees that b has left", func() bool { return len(a.Others()) == 0 })
}

// Guards against an instance that told that it is stopping and is used again as soon as a
// list shows its entry, and against one that is not used again after it has started again.
func TestStoppingInstanceIsRemoved(t *testing.T) {
	store := storertest.New()
	a := start(t, store, "a", "z1")
	defer a.Close()
	put := func(incarnation string) {
		store.Put(registrar.Prefix+"b", []byte(`{"name":"b","address":"b","zone":"z1","incarnation":`+incarnation+`}`))
	}
	put("1")
	eventually(t, "a knows b", func() bool { return len(a.Others()) == 1 })
	changed := a.Changed()
	a.Remove("b")
	select {
	case <-changed:
	default:
		t.Error("the change of the list was not signaled")
	}
	// Its entry is listed until it has ended. The next lists show c as well.
	store.Put(registrar.Prefix+"c", []byte(`{"name":"c","address":"c","zone":"z1","incarnation":1}`))
	eventually(t, "a knows c", func() bool {
		return slices.ContainsFunc(a.Others(), func(o registrar.Instance) bool { return o.Name == "c" })
	})
	if others := a.Others(); len(others) != 1 {
		t.Errorf("a uses %v", others)
	}
	put("2")
	eventually(t, "a knows that b has started again", func() bool { return len(a.Others()) == 2 })
}

// Guards against an entry without an incarnation that is removed when another instance stops.
func TestInstanceWithoutIncarnationStays(t *testing.T) {
	store := storertest.New()
	store.Put(registrar.Prefix+"b", []byte(`{"name":"b"}`))
	store.Put(registrar.Prefix+"c", []byte(`{"name":"c","incarnation":1}`))
	a := start(t, store, "a", "z1")
	defer a.Close()
	eventually(t, "a knows the others", func() bool { return len(a.Others()) == 2 })
	a.Remove("c")
	if others := a.Others(); len(others) != 1 || others[0].Name != "b" {
		t.Errorf("a uses %v, want b", others)
	}
}

// Guards against a change of the list for each of many instances that stop together, after
// each of which the fleet chooses all gateways again.
func TestStoppingInstancesAreRemovedTogether(t *testing.T) {
	store := storertest.New()
	const others = 20
	for i := range others {
		name := fmt.Sprint("b", i)
		store.Put(registrar.Prefix+name, fmt.Appendf(nil, `{"name":%q,"incarnation":1}`, name))
	}
	a := start(t, store, "a", "z1")
	defer a.Close()
	eventually(t, "a knows the others", func() bool { return len(a.Others()) == others })
	changes := 0
	changed := a.Changed()
	for i := range others {
		a.Remove(fmt.Sprint("b", i))
	}
	for deadline := time.After(2 * registrar.RemovalInterval); ; {
		select {
		case <-changed:
			changes++
			changed = a.Changed()
			continue
		case <-deadline:
		}
		break
	}
	if left := len(a.Others()); left != 0 || changes > 2 {
		t.Errorf("%d instances are left after %d changes", left, changes)
	}
}

// Guards against an instance that knows no others while the store refuses its calls, although
// another instance has sent its list, and against such a list that is kept after the store has
// returned one.
func TestInstancesKnownFromAnother(t *testing.T) {
	store := storertest.New()
	store.SetDown(true)
	a := start(t, store, "a", "z1")
	defer a.Close()
	entry := func(name string) storer.Entry {
		return storer.Entry{Key: registrar.Prefix + name, Value: fmt.Appendf(nil, `{"name":%q,"address":%q,"incarnation":1}`, name, name)}
	}
	a.Offer(nil)
	if a.HasList() {
		t.Error("a has a list without entries")
	}
	a.Offer([]storer.Entry{entry("a"), entry("b"), {Key: registrar.Prefix + "odd", Value: []byte("{")}, entry("c")})
	if others := a.Others(); !a.HasList() || !a.IsListFromInstance() || len(others) != 2 || others[0].Name != "b" || others[1].Name != "c" {
		t.Errorf("a knows %v", others)
	}
	a.Offer([]storer.Entry{entry("d")})
	if len(a.Others()) != 2 {
		t.Errorf("a later list of an instance replaced the first: %v", a.Others())
	}
	e := entry("e")
	store.Put(e.Key, e.Value)
	store.SetDown(false)
	eventually(t, "a has the store's list alone", func() bool { return len(a.Others()) == 1 && a.Others()[0].Name == "e" && !a.IsListFromInstance() })
	a.Offer([]storer.Entry{entry("b")})
	if len(a.Others()) != 1 {
		t.Errorf("a list of an instance replaced that of the store: %v", a.Others())
	}
}

// slowStore answers each call after the delay.
type slowStore struct {
	*storertest.Memory
	delay time.Duration
}

func (s slowStore) wait(ctx context.Context) error {
	select {
	case <-time.After(s.delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s slowStore) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := s.wait(ctx); err != nil {
		return 0, err
	}
	return s.Memory.GrantLease(ctx, ttl)
}

func (s slowStore) Commit(ctx context.Context, tx storer.Transaction) (storer.Result, error) {
	if err := s.wait(ctx); err != nil {
		return storer.Result{}, err
	}
	return s.Memory.Commit(ctx, tx)
}

func (s slowStore) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	if err := s.wait(ctx); err != nil {
		return 0, err
	}
	return s.Memory.KeepAlive(ctx, lease)
}

func (s slowStore) List(ctx context.Context, prefix string) ([]storer.Entry, int64, error) {
	if err := s.wait(ctx); err != nil {
		return nil, 0, err
	}
	return s.Memory.List(ctx, prefix)
}

// Guards against an instance that never registers while the store is slow, because all calls
// until the first list share one time limit.
func TestInstanceRegistersWithSlowStore(t *testing.T) {
	for _, tc := range []struct {
		name  string
		delay time.Duration
	}{
		{"60 times slower than usual", 240 * time.Millisecond},
		{"slower than the first limit", 500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			store := slowStore{storertest.New(), tc.delay}
			a := start(t, store, "a", "z1")
			defer a.Close()
			eventually(t, "a knows the list", a.HasList)
			if _, ok, err := store.Get(t.Context(), registrar.Prefix+"a"); err != nil || !ok {
				t.Errorf("entry of a: %v, %v", ok, err)
			}
		})
	}
}
