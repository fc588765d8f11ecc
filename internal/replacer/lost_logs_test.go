package replacer

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/tracker"
)

// Guards against a replica that started again with an empty log under its listed start and
// counts as one that still has what it acknowledged, and against a server that has just
// joined and counts as such a replica.
func TestRecordLostLogs(t *testing.T) {
	clock := clockwork.NewFakeClock()
	at := func(offset uint64) tracker.Position { return tracker.Position{Term: 1, Offset: offset} }
	for _, tc := range []struct {
		name string
		// known is how long the server has been known, last its log in the last choice.
		known    time.Duration
		last     *tracker.Position
		role     exchanger.Role
		received tracker.Position
		want     bool
	}{
		{"as in the last choice", time.Minute, new(at(7)), exchanger.Replica, at(7), false},
		{"longer than in the last choice", time.Minute, new(at(7)), exchanger.Replica, at(8), false},
		{"shorter than in the last choice", time.Second, new(at(7)), exchanger.Replica, at(6), true},
		{"empty, had a log in the last choice", time.Second, new(at(7)), exchanger.Replica, tracker.Position{}, true},
		{"empty as in the last choice", time.Minute, new(tracker.Position{}), exchanger.Replica, tracker.Position{}, false},
		{"empty, known for long", time.Minute, nil, exchanger.Replica, tracker.Position{}, true},
		{"empty, has just joined", time.Second, nil, exchanger.Replica, tracker.Position{}, false},
		{"not empty, in no choice before", time.Minute, nil, exchanger.Replica, at(7), false},
		{"primary", time.Minute, new(at(7)), exchanger.Primary, at(6), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := &task{Replacer: &Replacer{cfg: Config{Clock: clock}}, replicaLogs: replicaLogs{}}
			srv := informer.Server{ID: "b", Address: "b", Born: 1, Since: clock.Now().Add(-tc.known)}
			if tc.last != nil {
				r.replicaLogs[incarnation{srv.ID, srv.Born}] = *tc.last
			}
			r.recordLostLogs([]outcome{{server: srv, report: &exchanger.Report{Role: tc.role, Term: 1, Received: tc.received}}})
			if _, got := r.lastDeparture(); got != tc.want {
				t.Errorf("departure recorded: %v, want %v", got, tc.want)
			}
		})
	}
}
