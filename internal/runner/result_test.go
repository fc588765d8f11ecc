package runner

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/router"
	"marigoldhub.example/hub/internal/tracker"
)

// Guards against a batch that may have committed and counts as one that did not, which would be
// run again, and against answers that are passed on without a confirmation.
func TestResult(t *testing.T) {
	failed := resolver.Error("22012", "division by zero", "")
	write := &planner.Plan{MayCommit: true, ImplicitWrite: true, ReturnsData: true}
	commit := &planner.Plan{MayCommit: true, ExplicitTransaction: true}
	read := &planner.Plan{ReturnsData: true}
	call := &planner.Plan{MayCommit: true, ImplicitWrite: true, CommitsItself: true}
	inTransaction := &planner.Plan{ExplicitTransaction: true}
	cases := []struct {
		name                       string
		result                     Result
		plan                       *planner.Plan
		mayHaveCommitted, confirms bool
	}{
		{"write", Result{}, write, true, true},
		{"failed write", Result{Err: failed}, write, false, false},
		{"commit without an answer", Result{}, commit, true, false},
		{"commit", Result{Committed: true}, commit, true, true},
		{"error after a commit", Result{Committed: true, Err: failed}, commit, true, true},
		{"read", Result{}, read, false, true},
		{"failed read", Result{Err: failed}, read, false, false},
		{"procedure", Result{}, call, true, true},
		{"failed procedure", Result{Err: failed}, call, true, true},
		{"statement in a transaction", Result{}, inTransaction, false, false},
	}
	for _, c := range cases {
		if got := c.result.mayHaveCommitted(c.plan); got != c.mayHaveCommitted {
			t.Errorf("%s: may have committed %v, want %v", c.name, got, c.mayHaveCommitted)
		}
		if got := c.result.needsConfirmation(c.plan); got != c.confirms {
			t.Errorf("%s: needs a confirmation %v, want %v", c.name, got, c.confirms)
		}
	}
}

// Guards against a read that fails although another server could run it, and against errors of
// the read itself that are not reported.
func TestBlamesReplica(t *testing.T) {
	cases := []struct {
		name   string
		result Result
		want   bool
	}{
		{"no error", Result{}, false},
		{"error of the read", Result{Err: resolver.Error("22012", "division by zero", "")}, false},
		{"too many connections", Result{Err: resolver.Error(resolver.CodeTooManyConnections, "", "")}, true},
		{"conflict with recovery", Result{Err: resolver.Error(resolver.CodeNotRun, "", "")}, true},
		{"server shuts down", Result{Err: resolver.Fatal(resolver.CodeShutdown, "")}, true},
		{"statement that the connection lacks", Result{Err: resolver.Error(resolver.CodeUnknownStatement, "", ""), MustDiscard: true}, true},
	}
	for _, c := range cases {
		if got := c.result.BlamesReplica(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against the answer of a replica that lacks the session's own commits, or whose data are
// older than the read accepts.
func TestCovers(t *testing.T) {
	now := time.Unix(1000, 0)
	position := func(offset uint64) tracker.Position { return tracker.Position{Term: 1, Offset: offset} }
	row := func(applied uint64) tracker.Status {
		return tracker.Status{Role: tracker.RoleReplica, Log: position(9), Applied: position(applied)}
	}
	view := func(freshAt time.Time) tracker.ReplicaView {
		return tracker.ReplicaView{Server: "b", Log: position(5), FreshAt: freshAt, Reachable: true}
	}
	cases := []struct {
		name    string
		row     tracker.Status
		minimum tracker.Position
		view    tracker.ReplicaView
		want    bool
	}{
		{"covers", row(7), position(6), view(now), true},
		{"no minimum position", row(7), tracker.Position{}, view(now), true},
		{"received but not applied", row(5), position(6), view(now), false},
		{"behind its view", row(4), position(3), view(now), false},
		{"too old", row(7), position(6), view(now.Add(-time.Minute)), false},
		{"age unknown", row(7), position(6), view(time.Time{}), false},
		{"primary", tracker.Status{Role: tracker.RolePrimary, Log: position(9), Applied: position(9)}, position(6), view(now), false},
	}
	for _, c := range cases {
		r := replicaRead{choice: router.Choice{Replica: "b", MaxAge: time.Second, View: c.view}, minPosition: c.minimum}
		if got := r.covers(c.row, now); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against segments that are larger than the buffers of the sockets, so that proxy and
// server could block each other.
func TestMessageSize(t *testing.T) {
	text := string(make([]byte, 1000))
	cases := []struct {
		msg  pgproto3.FrontendMessage
		want int
	}{
		{&pgproto3.Parse{Query: text}, 1000},
		{&pgproto3.Bind{Parameters: [][]byte{[]byte(text), []byte(text)}}, 2000},
		{&pgproto3.Execute{}, 10},
	}
	for _, c := range cases {
		if got := messageSize(c.msg); got < c.want || got > c.want+100 {
			t.Errorf("%T: %d bytes, want %d or a little more", c.msg, got, c.want)
		}
	}
}
