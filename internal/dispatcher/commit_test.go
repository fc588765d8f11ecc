package dispatcher_test

import (
	"encoding/json"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/exchanger/exchangertest"
	"marigoldhub.example/hub/internal/informer"
)

// Guards against a success for a commit that a change of primary loses: one replica is
// paused and about to lead, and the old primary acknowledges commits with the other one,
// which has forgotten its pause in a restart (review/4: 47 or 48 lost commits a run).
func TestCommitDuringAChangeOfPrimary(t *testing.T) {
	for _, tc := range []struct {
		name string
		// fence lists the replicas that are paused, restarted those that have just started.
		fence, restarted []string
		lease            bool
		// next is the next primary of a switchover.
		next string
		want exchanger.Code
	}{
		{"no change", nil, nil, false, "", exchanger.Success},
		{"no change, restarted replica", nil, []string{"c"}, false, "", exchanger.Success},
		{"the other replica has restarted", []string{"b"}, []string{"c"}, false, "", exchanger.UnknownOutcome},
		{"a lease from before the fence holds", []string{"b"}, []string{"c"}, true, "", exchanger.Success},
		{"switchover", []string{"b"}, []string{"c"}, false, "c", exchanger.Success},
		{"switchover, the paused replica has restarted and the next primary receives nothing", nil, []string{"b"}, false, "c", exchanger.UnknownOutcome},
	} {
		for _, kind := range []string{"write", "transaction"} {
			t.Run(tc.name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				g := f.d.Group(exchangertest.Service)
				if _, err := g.AwaitLeader(time.Now().Add(time.Second)); err != nil {
					t.Fatal(err)
				}
				commit := f.prepareCommit(t, kind)
				for _, id := range tc.fence {
					f.pause(t, id, 2)
				}
				for _, id := range tc.restarted {
					f.restarted(t, id)
				}
				if tc.lease {
					g.ExtendLease("a", 1, time.Now().Add(time.Minute))
				}
				if tc.next != "" {
					g.ExtendSwitchover("a", tc.next, 1, time.Now().Add(time.Minute))
					f.SetReplicationCut(tc.next, tc.want == exchanger.UnknownOutcome)
				}
				if a := commit(); a.Code != tc.want {
					t.Errorf("got %s %q, want %s", a.Code, a.Text, tc.want)
				}
			})
		}
	}
}

// Guards against commits of unknown outcome in a service whose commits need no replica: no
// replica can prove them, and the service may have none.
func TestCommitOfAServiceWithoutSyncReplicas(t *testing.T) {
	for _, tc := range []struct {
		name         string
		syncReplicas int
		want         exchanger.Code
	}{{"commits need no replica", 0, exchanger.Success}, {"commits need a replica", 1, exchanger.UnknownOutcome}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			config, err := json.Marshal(informer.Configuration{Version: 1, Services: map[string]informer.Service{
				exchangertest.Service: {Name: exchangertest.Service, SyncReplicas: tc.syncReplicas},
			}})
			if err != nil {
				t.Fatal(err)
			}
			f.store.Put("config/now", config)
			for deadline := time.Now().Add(5 * time.Second); !f.informer.State().HasConfiguration(); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the configuration is not in force")
				}
			}
			if _, err := f.d.Group(exchangertest.Service).AwaitLeader(time.Now().Add(time.Second)); err != nil {
				t.Fatal(err)
			}
			f.pause(t, "b", 2)
			f.restarted(t, "c")
			if a := f.d.Run(request("w", exchanger.Write, informer.PrimaryReads)); a.Code != tc.want {
				t.Errorf("got %s %q, want %s", a.Code, a.Text, tc.want)
			}
		})
	}
}

// prepareCommit returns a function that runs a single write, or commits a transaction
// that has written.
func (f *fixture) prepareCommit(t *testing.T, kind string) func() exchanger.Answer {
	t.Helper()
	if kind == "write" {
		return func() exchanger.Answer { return f.d.Run(request("w", exchanger.Write, informer.PrimaryReads)) }
	}
	tx := f.d.Begin(request("begin", exchanger.Begin, informer.PrimaryReads))
	if a := tx.Run(request("w", exchanger.Write, informer.PrimaryReads)); !a.OK() {
		t.Fatalf("the write of the transaction failed: %s", a.Code)
	}
	return func() exchanger.Answer { return tx.Commit(request("commit", exchanger.Commit, informer.PrimaryReads)) }
}

// pause pauses a server for the term, as a coordinator does.
func (f *fixture) pause(t *testing.T, id string, term uint64) {
	t.Helper()
	conn, err := f.Dial(exchanger.Target{ServerID: id}, time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Exchange(time.Now().Add(time.Second), exchanger.Statement{Kind: exchanger.Pause, Term: term}); err != nil {
		t.Fatal(err)
	}
}

// restarted makes a server one that has just started, and waits until it is listed as such.
func (f *fixture) restarted(t *testing.T, id string) {
	t.Helper()
	f.SetBorn(id, time.Now())
	var born int64
	for _, srv := range f.Servers() {
		value, err := json.Marshal(srv)
		if err != nil {
			t.Fatal(err)
		}
		f.store.Put("backend/"+srv.ID, value)
		if srv.ID == id {
			born = srv.Born
		}
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if srv, _ := f.informer.State().Server(exchangertest.Service, id); srv.Born == born {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the restart is not listed")
		}
	}
}
