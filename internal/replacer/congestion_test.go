package replacer

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// state is the state of one server as it reports it.
type state struct {
	role     exchanger.Role
	lag      time.Duration
	busy     int
	paused   uint64
	draining bool
}

func reportsOf(states ...state) []attester.ServerReport {
	var out []attester.ServerReport
	for i, s := range states {
		out = append(out, attester.ServerReport{
			Server: informer.Server{ID: string(rune('a' + i)), Slots: 3, Draining: s.draining},
			Report: exchanger.Report{Role: s.role, Term: 4, Lag: s.lag, BusySlots: s.busy, PausedTerm: s.paused},
		})
	}
	return out
}

// Guards against a change of primary that does not help: the change itself costs
// callers some hundred milliseconds of writes.
func TestCongestion(t *testing.T) {
	primary := state{role: exchanger.Primary, busy: 3}
	behind, current := state{role: exchanger.Replica, lag: 9 * time.Second}, state{role: exchanger.Replica, lag: 50 * time.Millisecond}
	leader := attester.Leader{Server: informer.Server{ID: "a"}, Term: 4}
	const staleness = 2500 * time.Millisecond
	for _, tc := range []struct {
		name      string
		reports   []attester.ServerReport
		staleness time.Duration
		want      bool
	}{
		{"all replicas are behind", reportsOf(primary, behind, behind), staleness, true},
		{"one replica is current", reportsOf(primary, behind, current), staleness, false},
		{"reads accept older data", reportsOf(primary, behind, behind), 10 * time.Second, false},
		{"no read accepts old data", reportsOf(primary, behind, behind), 0, false},
		{"a replica is missing", reportsOf(primary, behind), staleness, false},
		{"a replica is draining", reportsOf(primary, behind, state{role: exchanger.Replica, lag: 9 * time.Second, draining: true}), staleness, false},
		{"a replica is paused for a change", reportsOf(primary, behind, state{role: exchanger.Replica, lag: 9 * time.Second, paused: 5}), staleness, false},
		{"the primary has stepped down", reportsOf(behind, behind, behind), staleness, false},
		{"the primary is idle", reportsOf(state{role: exchanger.Primary, busy: 1}, behind, behind), staleness, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c lagMonitor
			now := time.Unix(1000, 0)
			got := time.Duration(0)
			for after := time.Duration(0); after <= 8*time.Second; after += lagCheckInterval {
				if c.observe(now.Add(after), leader, 3, tc.reports, tc.staleness) {
					got = after
					break
				}
			}
			if (got > 0) != tc.want || tc.want && got != sustainedLag {
				t.Errorf("change after %v, want one after %v: %v", got, sustainedLag, tc.want)
			}
		})
	}
}

// Guards against a service that changes its primary again and again while its
// replicas stay slow, and against a cooldown that is never shortened.
func TestCongestionPauses(t *testing.T) {
	leader := attester.Leader{Server: informer.Server{ID: "a"}, Term: 4}
	behind := state{role: exchanger.Replica, lag: 9 * time.Second}
	reports := reportsOf(state{role: exchanger.Primary, busy: 3}, behind, behind)
	var c lagMonitor
	now := time.Unix(1000, 0)
	changes := 0
	for after := time.Duration(0); after < time.Hour; after += lagCheckInterval {
		if c.observe(now.Add(after), leader, 3, reports, time.Second) {
			c.recordChange(now.Add(after))
			changes++
		}
	}
	// The cooldown of 15 s doubles up to 10 min: changes at 5, 20, 50, 110, 230, 470,
	// 950 s, then every 10 min.
	if changes < 8 || changes > 13 {
		t.Errorf("%d changes in an hour", changes)
	}
	// Observations that were reset by a current replica must not count later.
	c = lagMonitor{}
	current := reportsOf(state{role: exchanger.Primary, busy: 3}, behind, state{role: exchanger.Replica})
	for i := range 100 {
		r := reports
		if i%9 == 0 {
			r = current
		}
		if c.observe(now.Add(time.Duration(i)*lagCheckInterval), leader, 3, r, time.Second) {
			t.Fatalf("change after %d observations although a replica was current recently", i)
		}
	}
}
