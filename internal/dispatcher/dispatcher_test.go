package dispatcher_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/exchanger/exchangertest"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/tracker"
)

func TestWhereStatementsRun(t *testing.T) {
	for _, tc := range []struct {
		name   string
		kind   exchanger.Kind
		reads  informer.Reads
		change func(f *fixture)
		code   exchanger.Code
		ranAt  []string
	}{
		{"write at the primary", exchanger.Write, informer.PrimaryReads, nil, exchanger.Success, []string{"a"}},
		{"strict read at the primary", exchanger.Read, informer.PrimaryReads, nil, exchanger.Success, []string{"a"}},
		{"bounded read at the near replica", exchanger.Read, informer.BoundedReads, nil, exchanger.Success, []string{"b"}},
		{"session read at the near replica", exchanger.Read, informer.SessionReads, nil, exchanger.Success, []string{"b"}},
		{"bounded read elsewhere while the near replica is down", exchanger.Read, informer.BoundedReads, func(f *fixture) { f.SetDown("b", true) }, exchanger.Success, []string{"c"}},
		{"bounded read while the near replica refuses", exchanger.Read, informer.BoundedReads, func(f *fixture) { f.SetBusy("b", true) }, exchanger.Success, []string{"c"}},
		{"write while all refuse", exchanger.Write, informer.PrimaryReads, func(f *fixture) { f.SetBusy("a", true) }, exchanger.Busy, nil},
		// Guards against a partitioned primary: no replica confirms that it leads. The read ran, so it is not refused as busy.
		{"strict read without a replica in reach", exchanger.Read, informer.PrimaryReads, func(f *fixture) { f.SetDown("b", true); f.SetDown("c", true) }, exchanger.Aborted, []string{"a", "a", "a", "a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			if a := f.d.Run(request("warm", exchanger.Read, informer.BoundedReads)); !a.OK() {
				t.Fatalf("warm-up: %v %s", a.Code, a.Text)
			}
			if tc.change != nil {
				tc.change(f)
			}
			a := f.d.Run(request("r1", tc.kind, tc.reads))
			at := f.ranAt("r1")
			if tc.code == exchanger.Aborted && len(at) > 0 && len(at) < len(tc.ranAt) {
				// How many attempts fit into the time varies; each ran at the primary.
				tc.ranAt = tc.ranAt[:len(at)]
			}
			if a.Code != tc.code || !slices.Equal(at, tc.ranAt) {
				t.Errorf("code %v (%s), ran at %v, want %v at %v", a.Code, a.Text, at, tc.code, tc.ranAt)
			}
		})
	}
}

// Guards against a session that does not see its own commit at a replica that
// is behind.
func TestSessionSeesItsOwnCommit(t *testing.T) {
	f := newFixture(t)
	w := f.d.Run(request("w", exchanger.Write, informer.SessionReads))
	if !w.OK() {
		t.Fatal(w.Code, w.Text)
	}
	f.SetBehind("b", true)
	f.SetBehind("c", true)
	req := request("r", exchanger.Read, informer.SessionReads)
	req.MinPosition, req.MinPositionAt = w.Position, time.Now()
	if a := f.d.Run(req); !a.OK() || !slices.Equal(f.ranAt("r"), []string{"a"}) {
		t.Errorf("code %v, ran at %v, want success at a", a.Code, f.ranAt("r"))
	}
}

// Guards against stale reads (formosa-dots trouble-1, seed 868845852397): the commit
// of a transaction without writes needs no replica, so it does not confirm the
// primary.
func TestCommitWithoutWritesConfirmsNothing(t *testing.T) {
	for _, tc := range []struct {
		name   string
		write  bool
		sample bool
	}{
		{"only reads", false, false},
		{"a write", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			tx := f.d.Begin(request("begin", exchanger.Begin, informer.PrimaryReads))
			kind := exchanger.Read
			if tc.write {
				kind = exchanger.Write
			}
			if a := tx.Run(request("s", kind, informer.PrimaryReads)); !a.OK() {
				t.Fatal(a.Code, a.Text)
			}
			before := time.Now()
			if a := tx.Commit(request("c", exchanger.Commit, informer.PrimaryReads)); !a.OK() {
				t.Fatal(a.Code, a.Text)
			}
			if _, ok := f.d.Group("service").RequiredPosition(before); ok != tc.sample {
				t.Errorf("sample taken: %v, want %v", ok, tc.sample)
			}
		})
	}
}

// Guards against a wrong outcome when an answer is lost.
func TestOutcomesWhenAnswersAreLost(t *testing.T) {
	lose := func(f *fixture, kind exchanger.Kind, id string) {
		var once atomic.Bool
		f.OnStatement = func(server string, s exchanger.Statement) {
			if s.Kind == kind && s.ID == id && once.CompareAndSwap(false, true) {
				f.SetDown(server, true)
				time.AfterFunc(30*time.Millisecond, func() { f.SetDown(server, false) })
			}
		}
	}
	t.Run("single write ends unknown", func(t *testing.T) {
		f := newFixture(t)
		f.d.Run(request("warm", exchanger.Read, informer.PrimaryReads))
		lose(f, exchanger.Write, "w")
		if a := f.d.Run(request("w", exchanger.Write, informer.PrimaryReads)); a.Code != exchanger.UnknownOutcome {
			t.Errorf("code %v, want unknown", a.Code)
		}
	})
	t.Run("read runs elsewhere", func(t *testing.T) {
		f := newFixture(t)
		f.d.Run(request("warm", exchanger.Read, informer.BoundedReads))
		lose(f, exchanger.Read, "r")
		if a := f.d.Run(request("r", exchanger.Read, informer.BoundedReads)); !a.OK() {
			t.Errorf("code %v, want success", a.Code)
		}
	})
	t.Run("statement of a transaction aborts it", func(t *testing.T) {
		f := newFixture(t)
		tx := f.d.Begin(request("begin", exchanger.Begin, informer.PrimaryReads))
		if a := tx.Run(request("s1", exchanger.Write, informer.PrimaryReads)); !a.OK() {
			t.Fatal(a.Code, a.Text)
		}
		lose(f, exchanger.Write, "s2")
		if a := tx.Run(request("s2", exchanger.Write, informer.PrimaryReads)); a.Code != exchanger.Aborted || a.State != exchanger.FailedTransaction {
			t.Errorf("code %v, state %v, want aborted", a.Code, a.State)
		}
		if a := tx.Commit(request("c", exchanger.Commit, informer.PrimaryReads)); a.Code != exchanger.Aborted {
			t.Errorf("commit after it: %v, want aborted", a.Code)
		}
		if at := f.ranAt("c"); len(at) > 0 {
			t.Errorf("the commit of a failed transaction ran at %v", at)
		}
	})
	t.Run("a statement that failed aborts its transaction", func(t *testing.T) {
		// Guards against a caller that cannot repeat a transaction of which nothing is kept.
		f := newFixture(t)
		tx := f.d.Begin(request("begin", exchanger.Begin, informer.PrimaryReads))
		f.SetFailing("a", true)
		if a := tx.Run(request("s1", exchanger.Write, informer.PrimaryReads)); a.Code != exchanger.Aborted || a.State != exchanger.FailedTransaction {
			t.Errorf("code %v, state %v, want aborted", a.Code, a.State)
		}
		if a := f.d.Run(request("w", exchanger.Write, informer.PrimaryReads)); a.Code != exchanger.Failed {
			t.Errorf("a single write that failed: %v, want failed, which promises nothing", a.Code)
		}
	})
	t.Run("an aborted transaction is reported at once", func(t *testing.T) {
		// Guards against a rollback that waits for an answer on the lost connection.
		f := newFixture(t)
		tx := f.d.Begin(request("begin", exchanger.Begin, informer.PrimaryReads))
		if a := tx.Run(request("s1", exchanger.Write, informer.PrimaryReads)); !a.OK() {
			t.Fatal(a.Code, a.Text)
		}
		var rollbacks atomic.Int32
		f.OnStatement = func(server string, s exchanger.Statement) {
			if s.ID == "s2" {
				f.SetDown(server, true)
			}
			if s.Kind == exchanger.Rollback {
				rollbacks.Add(1)
			}
		}
		tx.Run(request("s2", exchanger.Write, informer.PrimaryReads))
		if n := rollbacks.Load(); n > 0 {
			t.Errorf("%d rollbacks were sent on the lost connection", n)
		}
	})
	t.Run("commit of a transaction that wrote ends unknown", func(t *testing.T) {
		f := newFixture(t)
		tx := f.d.Begin(request("begin", exchanger.Begin, informer.PrimaryReads))
		tx.Run(request("s1", exchanger.Write, informer.PrimaryReads))
		lose(f, exchanger.Commit, "c")
		if a := tx.Commit(request("c", exchanger.Commit, informer.PrimaryReads)); a.Code != exchanger.UnknownOutcome {
			t.Errorf("code %v, want unknown", a.Code)
		}
	})
}

// Guards against instances that do not notice a change of primary.
func TestWritesFollowTheNewPrimary(t *testing.T) {
	f := newFixture(t)
	if a := f.d.Run(request("w1", exchanger.Write, informer.PrimaryReads)); !a.OK() {
		t.Fatal(a.Code)
	}
	f.MakePrimary("c", 2, true)
	deadline := time.Now().Add(5 * time.Second)
	for {
		a := f.d.Run(request("w2", exchanger.Write, informer.PrimaryReads))
		if a.OK() {
			break
		}
		if a.Code != exchanger.Busy || time.Now().After(deadline) {
			t.Fatalf("code %v %s", a.Code, a.Text)
		}
	}
	if at := f.ranAt("w2"); !slices.Equal(at, []string{"c"}) {
		t.Errorf("ran at %v, want c", at)
	}
}

// Guards against a write that is sent again although it may have run.
func TestUnknownWriteIsNotSentAgain(t *testing.T) {
	f := newFixture(t)
	f.SetReplicationCut("b", true)
	f.SetReplicationCut("c", true)
	a := f.d.Run(request("w", exchanger.Write, informer.PrimaryReads))
	if a.Code != exchanger.UnknownOutcome || len(f.ranAt("w")) != 1 {
		t.Errorf("code %v, ran %d times, want unknown after one run", a.Code, len(f.ranAt("w")))
	}
}

// Guards against status queries, or stale reads, under a primary lease. A lease does
// not count any more once another primary is known.
func TestLeaseReplacesStatusQueries(t *testing.T) {
	f := newFixture(t)
	g := f.d.Group("service")
	if _, err := g.AwaitLeader(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	var queries atomic.Int32
	f.OnStatement = func(_ string, s exchanger.Statement) {
		if s.Kind == exchanger.Status {
			queries.Add(1)
		}
	}
	g.ExtendLease("a", 1, time.Now().Add(time.Minute))
	for range 5 {
		if a := f.d.Run(request("r", exchanger.Read, informer.PrimaryReads)); !a.OK() {
			t.Fatal(a.Code, a.Text)
		}
	}
	if n := queries.Load(); n != 0 {
		t.Errorf("%d status queries to servers under a primary lease", n)
	}
	if s, ok := g.LatestSample(); !ok || s.Position != (tracker.Position{Term: 1}) {
		t.Errorf("answers under a primary lease gave the sample %+v", s)
	}
}

// Guards against a server that gets work long after it began to drain: on the grown
// deployment one did after 12 s.
func TestLeavingServerGetsNoWork(t *testing.T) {
	f := newFixture(t)
	if a := f.d.Run(request("warm", exchanger.Read, informer.BoundedReads)); !a.OK() {
		t.Fatal(a.Code, a.Text)
	}
	f.drain(t, "b")
	f.drain(t, "c")
	time.Sleep(3 * time.Second)
	f.SetBusy("a", true)
	if a := f.d.Run(request("late", exchanger.Read, informer.BoundedReads)); a.Code != exchanger.Busy {
		t.Errorf("code %v, want a refusal", a.Code)
	}
	if at := f.ranAt("late"); len(at) > 0 {
		t.Errorf("ran at %v 3 s after the server began to drain", at)
	}
}

// Guards against a running server that cannot be fenced because its entry is missing.
func TestProbeOfAnUnlistedServer(t *testing.T) {
	f := newFixture(t, "d")
	for _, tc := range []struct {
		name, id string
		down     bool
	}{
		{"listed", "b", false},
		{"not listed", "d", false},
		{"not listed and down", "d", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f.SetDown(tc.id, tc.down)
			r, err := f.d.Probe(informer.Server{ID: tc.id, Service: exchangertest.Service, Address: tc.id},
				exchanger.Statement{Kind: exchanger.Pause, Term: 2}, time.Now().Add(time.Second))
			if (err != nil) != tc.down {
				t.Fatalf("error %v, server is down: %v", err, tc.down)
			}
			if !tc.down && r.PausedTerm != 2 {
				t.Errorf("paused for term %d, want 2", r.PausedTerm)
			}
		})
	}
}
