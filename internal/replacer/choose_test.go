package replacer

import (
	"testing"

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
	empty := func(id string) member { return member{id: id, fenced: true} }
	unlisted := func(m member) member { m.unlisted = true; return m }
	for _, tc := range []struct {
		name    string
		members []member
		least   tracker.Position
		// wholeLog is true if a server has left since the old primary was last read.
		wholeLog bool
		want     string
	}{
		{"old primary lost: longest replica", []member{lost, replica("x", 5), replica("y", 7)}, at(0), false, "y"},
		{"old primary lost, one replica unreachable: only that one may have a commit", []member{lost, replica("x", 5), away("y")}, at(0), false, ""},
		{"old primary fenced, replica as long", []member{old(7), replica("x", 7), away("y")}, at(0), false, "x"},
		{"old primary fenced, replica shorter, other unreachable: only the old one is complete", []member{old(7), replica("x", 5), away("y")}, at(0), false, "old"},
		{"all fenced: what only the old primary has was not acknowledged", []member{old(9), replica("x", 5), replica("y", 7)}, at(0), false, "y"},
		{"all fenced, but a commit beyond the replicas was acknowledged", []member{old(9), replica("x", 5), replica("y", 7)}, at(8), false, "old"},
		{"all fenced, but another server has left: only the old primary surely has all commits", []member{old(9), replica("x", 5), replica("y", 7)}, at(0), true, "old"},
		{"old primary lost, another server has left: longest replica", []member{lost, replica("x", 5), replica("y", 7)}, at(0), true, "y"},
		{"a replica that acknowledged has left: known commit beyond all logs", []member{lost, replica("x", 5), replica("y", 7)}, at(8), false, ""},
		{"equal logs, one is draining", []member{lost, leaving(replica("x", 7)), replica("y", 7)}, at(0), false, "y"},
		{"only the draining one is complete", []member{lost, leaving(replica("x", 8)), replica("y", 7)}, at(0), false, "x"},
		{"all replicas are empty, another server has left: only the old primary may have commits", []member{lost, empty("x"), empty("y")}, tracker.Position{}, true, ""},
		{"all replicas are empty, the old primary is gone", []member{empty("x"), empty("y")}, tracker.Position{}, true, "x"},
		{"all replicas are empty, none has left", []member{lost, empty("x"), empty("y")}, tracker.Position{}, false, "x"},
		{"one replica is empty, another server has left", []member{lost, empty("x"), replica("y", 1)}, tracker.Position{}, true, "y"},
		{"no server reachable", []member{lost, away("x"), away("y")}, at(0), false, ""},
		{"equal logs, one is not listed", []member{lost, unlisted(replica("x", 7)), replica("y", 7)}, at(0), false, "y"},
		{"only one that is not listed is complete", []member{lost, unlisted(replica("x", 8)), replica("y", 7)}, at(0), false, ""},
		{"draining old primary is replaced by an equal replica", []member{leaving(old(7)), replica("x", 7), replica("y", 6)}, at(0), false, "x"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := choose(tc.members, tc.least, tc.wholeLog)
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
