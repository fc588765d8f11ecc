package storer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

func put(t testing.TB, s Store, key, value string) int64 {
	t.Helper()
	r, err := s.Commit(context.Background(), Transaction{}.WithPut(key, []byte(value)))
	if err != nil || !r.Succeeded {
		t.Fatalf("put %s: %v, %v", key, r, err)
	}
	return r.Revision
}

// TestCommitCompares guards against a write whose compares do not hold.
func TestCommitCompares(t *testing.T) {
	_, g := newFake(t)
	revision := put(t, g, "/a", "1")
	cases := []struct {
		name string
		tx   Transaction
		want bool
	}{
		{"absent key that exists", Transaction{}.WithAbsent("/a").WithPut("/a", []byte("x")), false},
		{"other revision", Transaction{}.WithUnchanged("/a", revision+1).WithPut("/a", []byte("x")), false},
		{"unchanged", Transaction{}.WithUnchanged("/a", revision).WithAbsent("/b").WithPut("/b", []byte("2")).WithDelete("/a"), true},
	}
	for _, c := range cases {
		r, err := g.Commit(context.Background(), c.tx)
		if err != nil || r.Succeeded != c.want {
			t.Errorf("%s: got %v, %v", c.name, r.Succeeded, err)
		}
	}
	if _, ok, _ := g.Get(context.Background(), "/a"); ok {
		t.Error("deleted key exists")
	}
	if e, ok, _ := g.Get(context.Background(), "/b"); !ok || string(e.Value) != "2" {
		t.Error("put key is missing")
	}
}

// TestListReadsAllPages guards against a list that ends at the page limit.
func TestListReadsAllPages(t *testing.T) {
	_, g := newFake(t)
	const n = 2*listPage + 5
	for i := range n {
		put(t, g, fmt.Sprintf("/p/%04d", i), "v")
	}
	put(t, g, "/q", "other")
	entries, revision, err := g.List(context.Background(), "/p/")
	if err != nil || len(entries) != n || revision != n+2 {
		t.Errorf("got %d entries at %d, %v", len(entries), revision, err)
	}
}

// TestLostAnswerIsUnknown guards against treating a lost response as a definite
// failure, and a definite failure as an unknown outcome.
func TestLostAnswerIsUnknown(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	hang := func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // The server notices a closed connection only after the body.
		<-r.Context().Done()
	}
	status := func(code, grpc int) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(code)
			fmt.Fprintf(w, `{"error":"e","code":%d,"message":"m"}`, grpc)
		}
	}
	cases := []struct {
		name    string
		answer  func(http.ResponseWriter, *http.Request)
		unknown bool
	}{
		{"connection cut", abort, true},
		{"no response", hang, true},
		{"unavailable", status(503, 14), true},
		{"truncated response", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"succ`) }, true},
		{"invalid argument", status(400, codeInvalidArgument), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, g := newFake(t)
			f.intercept = func(w http.ResponseWriter, r *http.Request) bool {
				c.answer(w, r)
				return true
			}
			_, err := g.Commit(context.Background(), Transaction{}.WithPut("/a", nil))
			if err == nil || IsUnknownOutcome(err) != c.unknown {
				t.Errorf("commit: %v", err)
			}
			_, _, err = g.Get(context.Background(), "/a")
			if err == nil || IsUnknownOutcome(err) {
				t.Errorf("get: %v", err)
			}
		})
	}
}

// TestUnsentWriteIsCertain guards against an unknown outcome for a write that
// no endpoint received, and checks that the next endpoint is tried.
func TestUnsentWriteIsCertain(t *testing.T) {
	const refusing = "http://127.0.0.1:1"
	g := NewEtcdClient(Config{Endpoints: []string{refusing}, LocalIP: netip.MustParseAddr("127.0.0.1")})
	_, err := g.Commit(context.Background(), Transaction{}.WithPut("/a", nil))
	if !errors.Is(err, ErrUnavailable) || IsUnknownOutcome(err) {
		t.Errorf("got %v", err)
	}
	_, up := newFake(t)
	r := metrics.NewRegistry()
	g = NewEtcdClient(Config{Endpoints: []string{refusing, up.cfg.Endpoints[0]}, Metrics: r})
	put(t, g, "/a", "1")
	if n := metrics.GetOrRegisterCounter("store.calls.txn", r).Count(); n != 1 {
		t.Errorf("counted %d calls, want 1", n)
	}
}

// TestValueLimit guards against sending values that the store refuses.
func TestValueLimit(t *testing.T) {
	_, g := newFake(t)
	tx := Transaction{}.WithPut("/a", make([]byte, MaxValueSize+1))
	if _, err := g.Commit(context.Background(), tx); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v", err)
	}
}

// TestLeases guards against an expired lease that is taken for a valid one.
func TestLeases(t *testing.T) {
	_, g := newFake(t)
	id, err := g.GrantLease(context.Background(), 1500*time.Millisecond)
	if err != nil || id != 7 {
		t.Errorf("grant: %d, %v", id, err)
	}
	if _, err := g.KeepAlive(context.Background(), 8); !errors.Is(err, ErrLeaseNotFound) {
		t.Errorf("keep alive: %v", err)
	}
	if err := g.Revoke(context.Background(), 9); !errors.Is(err, ErrLeaseNotFound) {
		t.Errorf("revoke: %v", err)
	}
}

// TestWatchReportsEveryChange guards against changes that are lost between the
// list and the watch, and against a watch that ends without an error.
func TestWatchReportsEveryChange(t *testing.T) {
	_, g := newFake(t)
	first := put(t, g, "/w/a", "1")
	put(t, g, "/w/a", "2")
	put(t, g, "/x", "other")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w, err := g.Watch(ctx, "/w/", first)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		g.Commit(context.Background(), Transaction{}.WithDelete("/w/a"))
	}()
	var seen []string
	for len(seen) < 3 {
		b, ok := <-w.Batches()
		if !ok {
			t.Fatal(w.Err())
		}
		for _, c := range b.Changes {
			seen = append(seen, fmt.Sprintf("%s=%s %v", c.Entry.Key, c.Entry.Value, c.Deleted))
		}
	}
	if got, want := fmt.Sprint(seen), "[/w/a=1 false /w/a=2 false /w/a= true]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	cancel()
	<-w.Done()
	if _, ok := <-w.Batches(); ok || w.Err() == nil {
		t.Error("the watch did not end with an error")
	}
}

// TestCloseOfIdleWatch guards against a Close that waits for the next change.
func TestCloseOfIdleWatch(t *testing.T) {
	_, g := newFake(t)
	w, err := g.Watch(context.Background(), "/w/", 1)
	if err != nil {
		t.Fatal(err)
	}
	closed := make(chan struct{})
	go func() {
		w.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the watch did not close")
	}
}

// TestWatchOfCompactedRevision guards against silently skipped changes.
func TestWatchOfCompactedRevision(t *testing.T) {
	f, g := newFake(t)
	f.compacted = 10
	w, err := g.Watch(context.Background(), "/w/", 5)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	<-w.Done()
	var compacted *CompactedError
	if !errors.As(w.Err(), &compacted) || compacted.Revision != 11 {
		t.Errorf("got %v", w.Err())
	}
}

// TestWatchSetupHasDeadline guards against a watch that never starts.
func TestWatchSetupHasDeadline(t *testing.T) {
	f, g := newFake(t)
	f.intercept = func(_ http.ResponseWriter, r *http.Request) bool {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return true
	}
	if _, err := g.Watch(context.Background(), "/w/", 1); !errors.Is(err, ErrUnavailable) {
		t.Errorf("got %v", err)
	}
}
