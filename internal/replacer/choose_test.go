package replacer

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/tracker"
)

func at(offset uint64) tracker.Position { return tracker.Position{Term: 1, Offset: offset} }

// Guards against a promotion that loses an acknowledged commit. A commit is
// acknowledged when the primary and one replica have it.
func TestChoose(t *testing.T) {
	old := func(offset uint64) member {
		return member{id: "old", isOldPrimary: true, fenced: true, received: at(offset)}
	}
	lost := member{id: "old", isOldPrimary: true}
	replica := func(id string, offset uint64) member { return member{id: id, fenced: true, received: at(offset)} }
	away := func(id string) member { return member{id: id} }
	leaving := func(m member) member { m.draining = true; return m }
	for _, tc := range []struct {
		name    string
		members []member
		least   tracker.Position
		want    string
	}{
		{"old primary lost: longest replica", []member{lost, replica("x", 5), replica("y", 7)}, at(0), "y"},
		{"old primary lost, one replica unreachable: only that one may have a commit", []member{lost, replica("x", 5), away("y")}, at(0), ""},
		{"old primary fenced, replica as long", []member{old(7), replica("x", 7), away("y")}, at(0), "x"},
		{"old primary fenced, replica shorter, other unreachable: only the old one is complete", []member{old(7), replica("x", 5), away("y")}, at(0), "old"},
		{"all fenced: what only the old primary has was not acknowledged", []member{old(9), replica("x", 5), replica("y", 7)}, at(0), "y"},
		{"all fenced, but a commit beyond the replicas was acknowledged", []member{old(9), replica("x", 5), replica("y", 7)}, at(8), "old"},
		{"a replica that acknowledged has left: known commit beyond all logs", []member{lost, replica("x", 5), replica("y", 7)}, at(8), ""},
		{"equal logs, one is draining", []member{lost, leaving(replica("x", 7)), replica("y", 7)}, at(0), "y"},
		{"only the draining one is complete", []member{lost, leaving(replica("x", 8)), replica("y", 7)}, at(0), "x"},
		{"no server reachable", []member{lost, away("x"), away("y")}, at(0), ""},
		{"draining old primary is replaced by an equal replica", []member{leaving(old(7)), replica("x", 7), replica("y", 6)}, at(0), "x"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := choose(tc.members, tc.least)
			if got != tc.want || (err == nil) != (tc.want != "") {
				t.Errorf("got %q, %v, want %q", got, err, tc.want)
			}
		})
	}
}

// Guards against replacing a primary because its only replica receives nothing,
// which interrupted a service of formosa-dots scale-1 for another half second.
func TestStallNeedsTwoReplicas(t *testing.T) {
	l := attester.Leader{Server: informer.Server{ID: "p"}, Term: 1}
	report := func(id string, role exchanger.Role, offset uint64) attester.ServerReport {
		return attester.ServerReport{Server: informer.Server{ID: id}, Report: exchanger.Report{Role: role, Term: 1, Received: at(offset)}}
	}
	for _, tc := range []struct {
		name       string
		reports    []attester.ServerReport
		comparable bool
		behind     bool
	}{
		{"both replicas behind", []attester.ServerReport{report("p", exchanger.Primary, 9), report("x", exchanger.Replica, 5), report("y", exchanger.Replica, 4)}, true, true},
		{"one replica receives", []attester.ServerReport{report("p", exchanger.Primary, 9), report("x", exchanger.Replica, 9), report("y", exchanger.Replica, 4)}, true, false},
		{"only one replica left", []attester.ServerReport{report("p", exchanger.Primary, 9), report("x", exchanger.Replica, 5)}, false, true},
		{"primary out of reach", []attester.ServerReport{report("x", exchanger.Replica, 5), report("y", exchanger.Replica, 4)}, false, false},
	} {
		p, ok := newestReplica(tc.reports, l)
		if ok != tc.comparable || ok && p.behind != tc.behind {
			t.Errorf("%s: %+v, %v", tc.name, p, ok)
		}
	}
}

// Guards against a failover that waits for a server which has come back under
// another id: deploy/days/cut_servers.toml, seed 12 on tapak-boot, waited 3 s.
func TestVanishedUntilReplaced(t *testing.T) {
	servers := func(ids ...string) []informer.Server {
		var out []informer.Server
		for _, id := range ids {
			out = append(out, informer.Server{ID: id})
		}
		return out
	}
	clock := clockwork.NewFakeClock()
	seen := func(siblings int) map[string]listing {
		return map[string]listing{"x": {at: clock.Now(), staying: siblings}}
	}
	leaving := servers("p", "y", "z")
	leaving[2].Draining = true
	for _, tc := range []struct {
		name   string
		listed []informer.Server
		known  map[string]listing
		want   int
	}{
		{"not replaced", servers("p", "y"), seen(3), 1},
		{"replaced", servers("p", "y", "z"), seen(3), 0},
		{"the third one leaves", leaving, seen(3), 1},
		{"still listed", servers("p", "x"), seen(3), 0},
		{"long ago", servers("p", "y"), map[string]listing{"x": {at: clock.Now().Add(-time.Minute), staying: 3}}, 0},
	} {
		r := &task{Replacer: &Replacer{cfg: Config{Clock: clock}}, lastListed: tc.known}
		if got := r.vanished(tc.listed, map[string]bool{"p": true}); len(got) != tc.want {
			t.Errorf("%s: %v", tc.name, got)
		}
	}
}
