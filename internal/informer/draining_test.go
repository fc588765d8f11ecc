package informer_test

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/storer"
)

// Guards against a server that is taken to have begun to drain when this instance saw it: by
// then it may have been draining for as long as the lists lag, or as this instance was cut off.
func TestDrainingServerBeganAfterTheLastListWithoutIt(t *testing.T) {
	base := time.Now().Add(time.Minute)
	at := func(s int) time.Time { return base.Add(time.Duration(s) * time.Second) }
	type step struct {
		// epoch and revision are counted from those of the store.
		epoch, revision int64
		// state is "ready" or "draining" for a list of another instance, and empty for one
		// that is only known to be current.
		state  string
		readAt time.Time
	}
	for _, tc := range []struct {
		name  string
		steps []step
		// want is zero if the server may have been draining for any time.
		want time.Time
	}{
		{"seen by two lists in turn", []step{{0, 1, "ready", at(10)}, {0, 2, "draining", at(20)}}, at(10)},
		{"lists without a time", []step{{0, 1, "ready", at(10)}, {0, 2, "ready", time.Time{}}, {0, 3, "draining", at(20)}}, at(10)},
		{"draining in several lists", []step{{0, 1, "ready", at(10)}, {0, 2, "draining", at(20)}, {0, 3, "draining", at(30)}}, at(10)},
		{"the list is known to be current later", []step{{0, 1, "ready", at(10)}, {0, 1, "", at(15)}, {0, 2, "draining", at(20)}}, at(15)},
		{"an older list was current later", []step{{0, 2, "ready", at(10)}, {0, 1, "", at(15)}, {0, 3, "draining", at(20)}}, at(15)},
		{"a newer list was current later", []step{{0, 1, "ready", at(10)}, {0, 2, "", at(15)}, {0, 3, "draining", at(20)}}, at(10)},
		{"the time goes back", []step{{0, 1, "ready", at(10)}, {0, 2, "ready", at(5)}, {0, 3, "draining", at(20)}}, at(10)},
		{"first seen draining", []step{{0, 1, "draining", at(10)}}, time.Time{}},
		{"the store was restored from a copy meanwhile", []step{{0, 1, "ready", at(10)}, {1, 1, "ready", at(15)}, {1, 2, "draining", at(20)}}, at(10)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := start(t, nil)
			f.store.Put("backend/other", encode(t, informer.Server{Service: "s", Address: "b"}))
			eventually(t, "all servers are known", f.informer.KnowsAllServers)
			f.store.SetDown(true)
			time.Sleep(20 * time.Millisecond)
			start := f.informer.List().Revision
			for _, s := range tc.steps {
				revision := storer.NewRevision(storer.Epoch(start)+s.epoch, storer.Number(start)+s.revision)
				if s.state == "" {
					f.informer.ObserveRead(revision, s.readAt)
					continue
				}
				entry := encode(t, informer.Server{Service: "s", Address: "a", Draining: s.state == "draining"})
				f.informer.OfferList(informer.List{Revision: revision, ReadAt: s.readAt, Entries: []storer.Entry{{Key: "backend/x", Value: entry}}})
			}
			srv, ok := f.informer.State().Server("s", "x")
			if !ok || !srv.Draining {
				t.Fatalf("the server is known: %v, draining: %v", ok, srv.Draining)
			}
			if !srv.DrainingAfter.Equal(tc.want) {
				t.Errorf("draining after %v, want %v", srv.DrainingAfter.Sub(base), tc.want.Sub(base))
			}
		})
	}
}

// Guards against lists of this instance that do not tell when a server was not draining yet.
func TestOwnListsTellWhenDrainingBegan(t *testing.T) {
	f := start(t, nil)
	entry := func(draining bool) []byte {
		return encode(t, informer.Server{Service: "s", Address: "a", Draining: draining})
	}
	f.store.Put("backend/x", entry(false))
	eventually(t, "all servers are known", f.informer.KnowsAllServers)
	eventually(t, "a linearizable list was read since", func() bool { return !f.informer.List().ReadAt.IsZero() })
	before := time.Now()
	f.store.Put("backend/x", entry(true))
	eventually(t, "the server drains", func() bool {
		srv, _ := f.informer.State().Server("s", "x")
		return srv.Draining
	})
	srv, _ := f.informer.State().Server("s", "x")
	if srv.DrainingAfter.IsZero() || srv.DrainingAfter.After(before) || !srv.DrainingSince.After(before) {
		t.Errorf("draining after %v, seen after %v, both from the entry on", srv.DrainingAfter.Sub(before), srv.DrainingSince.Sub(before))
	}
}

// Guards against an instance that does not know how long a server has been draining, because it
// started later or lists rarely, although another one knows, and against a time of an earlier
// incarnation.
func TestOthersTellWhenDrainingBegan(t *testing.T) {
	for _, tc := range []struct {
		name string
		id   string
		born int64
		// offered and want count from the time that is known.
		offered, want time.Duration
		isUnknown     bool
	}{
		{"later than the known one", "x", 1, time.Second, time.Second, false},
		{"earlier than the known one", "x", 1, -time.Second, 0, false},
		{"hardly later than the known one", "x", 1, time.Millisecond, 0, false},
		{"another incarnation", "x", 2, time.Second, 0, false},
		{"none was known", "new", 1, time.Second, time.Second, false},
		{"a server that does not drain", "ready", 1, time.Second, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := start(t, nil)
			f.store.Put("backend/other", encode(t, informer.Server{Service: "s", Address: "b"}))
			eventually(t, "a list is known to be current", func() bool { return !f.informer.List().ReadAt.IsZero() })
			f.store.SetDown(true)
			time.Sleep(20 * time.Millisecond)
			known := f.informer.List()
			for i, draining := range []map[string]bool{{"x": false, "ready": false}, {"x": true, "ready": false, "new": true}} {
				var entries []storer.Entry
				for id, d := range draining {
					entries = append(entries, storer.Entry{Key: "backend/" + id, Value: encode(t, informer.Server{Service: "s", Address: id, Born: 1, Draining: d})})
				}
				f.informer.OfferList(informer.List{Revision: known.Revision + int64(i) + 1, Entries: entries})
			}
			f.informer.ObserveDraining(tc.id, tc.born, known.ReadAt.Add(tc.offered))
			srv, ok := f.informer.State().Server("s", tc.id)
			want := known.ReadAt.Add(tc.want)
			if tc.isUnknown {
				want = time.Time{}
			}
			if !ok || !srv.DrainingAfter.Equal(want) {
				t.Errorf("draining after %v, want %v", srv.DrainingAfter, want)
			}
		})
	}
}
