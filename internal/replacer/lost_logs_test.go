package replacer

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/tracker"
)

// Guards against a replica that started again with an empty log under its listed start and
// counts as one that still has what it acknowledged, and against a server that has just
// joined and counts as such a replica. Also guards against a server that left in an earlier
// term and counts as one that is lost now.
func TestRecordLostLogs(t *testing.T) {
	const lastTerm = 2
	clock := clockwork.NewFakeClock()
	at := func(offset uint64) tracker.Position { return tracker.Position{Term: 1, Offset: offset} }
	for _, tc := range []struct {
		name string
		// born is the server's start, 1 in the last choice; 0 if it is gone. known is how long
		// it has been known, last its log in the last choice.
		born     int64
		known    time.Duration
		last     *tracker.Position
		role     exchanger.Role
		received tracker.Position
		want     bool
		// floor is what the next primary needs if the last choice was for the same term.
		floor tracker.Position
	}{
		{"as in the last choice", 1, time.Minute, new(at(7)), exchanger.Replica, at(7), false, tracker.Position{}},
		{"longer than in the last choice", 1, time.Minute, new(at(7)), exchanger.Replica, at(8), false, tracker.Position{}},
		{"shorter than in the last choice", 1, time.Second, new(at(7)), exchanger.Replica, at(6), true, at(7)},
		{"empty, had a log in the last choice", 1, time.Second, new(at(7)), exchanger.Replica, tracker.Position{}, true, at(7)},
		{"shorter under a new start", 2, time.Second, new(at(7)), exchanger.Replica, at(6), true, at(7)},
		{"as long under a new start", 2, time.Second, new(at(7)), exchanger.Replica, at(7), false, tracker.Position{}},
		{"gone", 0, time.Second, new(at(7)), exchanger.Replica, at(7), true, at(7)},
		{"empty as in the last choice", 1, time.Minute, new(tracker.Position{}), exchanger.Replica, tracker.Position{}, false, tracker.Position{}},
		{"empty, known for long", 1, time.Minute, nil, exchanger.Replica, tracker.Position{}, true, tracker.Position{}},
		{"empty, has just joined", 1, time.Second, nil, exchanger.Replica, tracker.Position{}, false, tracker.Position{}},
		{"not empty, in no choice before", 1, time.Minute, nil, exchanger.Replica, at(7), false, tracker.Position{}},
		{"primary", 1, time.Minute, new(at(7)), exchanger.Primary, at(6), false, tracker.Position{}},
	} {
		for _, term := range []uint64{lastTerm, lastTerm + 1} {
			t.Run(fmt.Sprintf("%s/term %d", tc.name, term), func(t *testing.T) {
				r := &task{Replacer: &Replacer{cfg: Config{Clock: clock}}, replicaLogs: replicaLogs{}}
				srv := informer.Server{ID: "b", Address: "b", Born: tc.born, Since: clock.Now().Add(-tc.known)}
				r.lastListed = map[string]listing{srv.ID: {Server: srv, at: clock.Now()}}
				if tc.last != nil {
					r.replicaLogs[incarnation{srv.ID, 1}] = replicaLog{*tc.last, lastTerm}
				}
				var outcomes []outcome
				if tc.born != 0 {
					outcomes = append(outcomes, outcome{server: srv, report: &exchanger.Report{Role: tc.role, Term: 1, Received: tc.received}})
				}
				r.recordLostLogs(term, outcomes)
				wantDeparture, want := tc.want, tc.floor
				if term != lastTerm {
					// The departure of a server that is gone was recorded when it left the list.
					wantDeparture, want = tc.want && tc.born != 0, tracker.Position{}
				}
				if d, got := r.lastDeparture(); got != wantDeparture || d.floor != want {
					t.Errorf("departure recorded: %v, needed up to %v, want %v, %v", got, d.floor, wantDeparture, want)
				}
			})
		}
	}
}

// Guards against a log that is lost in several choices for one term and is not needed: its new
// start did not answer in the choice that first listed it. Also guards against one that is
// needed twice as long, because its server is missing anew once it does not count as one that
// may run, and against a position that is needed although a promotion has rolled it back.
func TestLostLogsOfSeveralChoices(t *testing.T) {
	const term = 2
	had := tracker.Position{Term: 1, Offset: 251}
	clock := clockwork.NewFakeClock()
	b := func(born int64, r *exchanger.Report) []outcome {
		return []outcome{{server: informer.Server{ID: "b", Address: "b", Born: born, Since: clock.Now()}, report: r}}
	}
	paused := func(p tracker.Position) *exchanger.Report {
		return &exchanger.Report{Role: exchanger.Replica, Term: term - 1, PausedTerm: term, Received: p}
	}
	follows := func(p tracker.Position) *exchanger.Report {
		return &exchanger.Report{Role: exchanger.Replica, Term: term, Received: p}
	}
	for _, tc := range []struct {
		name    string
		choices [][]outcome
		// isForgotten is true if the server left the list longer than unlistedRetention ago.
		isForgotten bool
		want        bool
		floor       tracker.Position
	}{
		{"silent in between", [][]outcome{b(1, paused(had)), b(1, nil), b(1, paused(had))}, false, false, tracker.Position{}},
		{"silent in between, then empty", [][]outcome{b(1, paused(had)), b(1, nil), b(1, paused(tracker.Position{}))}, false, true, had},
		{"a new start is silent", [][]outcome{b(1, paused(had)), b(2, nil)}, false, true, had},
		{"a new start is silent, then empty", [][]outcome{b(1, paused(had)), b(2, nil), b(2, paused(tracker.Position{}))}, false, true, had},
		{"gone", [][]outcome{b(1, paused(had)), nil}, false, true, had},
		{"gone, unlisted for long", [][]outcome{b(1, paused(had)), b(1, nil), nil}, true, false, tracker.Position{}},
		{"rolled back by a primary of the term", [][]outcome{b(1, paused(had)), b(1, follows(at(240)))}, false, true, tracker.Position{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := &task{Replacer: &Replacer{cfg: Config{Clock: clock}}, replicaLogs: replicaLogs{}}
			if !tc.isForgotten {
				r.lastListed = map[string]listing{"b": {Server: informer.Server{ID: "b"}, at: clock.Now()}}
			}
			f := fence{term: term, leader: "a", born: 1}
			for _, outcomes := range tc.choices {
				r.recordLostLogs(f.term, outcomes)
				r.replicaLogs.update(f, outcomes)
				clock.Advance(150 * time.Millisecond)
			}
			if d, got := r.lastDeparture(); got != tc.want || d.floor != tc.floor {
				t.Errorf("departure recorded: %v, needed up to %v, want %v, %v", got, d.floor, tc.want, tc.floor)
			}
		})
	}
}

// Guards against a position that is needed without end, because a replica that restarts every
// 20 s renews it: the primary's log has commits there that nobody was told of.
func TestNeededPositionEnds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	floor := at(100)
	for _, tc := range []struct {
		name string
		// record makes the position needed.
		record func(r *task)
	}{
		{"end of the primary's log", func(r *task) {
			r.recordDeparture()
			r.departed = r.departed.covered(floor)
		}},
		{"end of a lost log", func(r *task) {
			r.replicaLogs[incarnation{"b", 1}] = replicaLog{floor, 2}
			r.recordLostLogs(2, []outcome{{server: informer.Server{ID: "b", Born: 2}}})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := &task{Replacer: &Replacer{cfg: Config{Clock: clock, Peers: silentPeers{}}}, replicaLogs: replicaLogs{}}
			tc.record(r)
			for _, want := range []tracker.Position{floor, {}, {}} {
				clock.Advance(20 * time.Second)
				r.recordDeparture()
				if least, wholeLog := r.requirements(); least != want || !wholeLog {
					t.Errorf("needed up to %v, whole log %v, want %v, true", least, wholeLog, want)
				}
			}
		})
	}
}

// silentBackends are servers of which one answered last at the time.
type silentBackends struct {
	Backends
	answered time.Time
}

func (b silentBackends) Health(string) (time.Time, int) { return b.answered, 100 }

// Guards against a service with empty logs that each new coordinator leaves without a primary
// for 30 s more: it takes the empty replicas for ones that have lost their logs, and yields the
// role because of it.
func TestEmptyServerIsChosenAtLast(t *testing.T) {
	clock := clockwork.NewFakeClock()
	empty := func(id string) outcome {
		srv := informer.Server{ID: id, Address: id, Born: 1, Since: clock.Now().Add(-time.Hour)}
		return outcome{server: srv, report: &exchanger.Report{Role: exchanger.Replica, Term: 1, PausedTerm: 2}}
	}
	for _, tc := range []struct {
		name string
		// answered is when the old primary last answered this instance.
		answered time.Time
		want     string
	}{
		{"the old primary answered a moment ago", clock.Now().Add(-time.Second), ""},
		{"the old primary answered up to the limit", clock.Now().Add(-unlistedRetention), ""},
		{"the old primary has been silent for longer", clock.Now().Add(-unlistedRetention - time.Second), "b"},
		{"the old primary never answered this instance", time.Time{}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := &task{Replacer: &Replacer{cfg: Config{Clock: clock, Peers: silentPeers{}, Backends: silentBackends{answered: tc.answered}}}, replicaLogs: replicaLogs{}}
			a := outcome{server: informer.Server{ID: "a", Address: "a", Born: 1}}
			if c := r.chooseFenced(fence{term: 2, leader: "a", born: 1}, []outcome{a, empty("b"), empty("c")}, nil); c.server != tc.want {
				t.Errorf("%q, %v, want %q", c.server, c.err, tc.want)
			}
		})
	}
}
