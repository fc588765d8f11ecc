package tracker

import (
	"testing"
	"time"
)

// ageFixture passes statuses to a tracker of three servers. Times are in ms.
type ageFixture struct {
	*Tracker
	start time.Time
}

func newAgeFixture() *ageFixture {
	group := Group{Name: "g", Servers: []Server{{Name: "s1"}, {Name: "s2"}, {Name: "s3"}}}
	return &ageFixture{New(group), time.Unix(1000, 0)}
}

func (f *ageFixture) at(ms int) time.Time { return f.start.Add(time.Duration(ms) * time.Millisecond) }

func (f *ageFixture) see(ms int, server string, role Role, term uint64, lineage string, log Position) {
	l, err := ParseLineage(lineage)
	if err != nil {
		panic(err)
	}
	s := Status{Server: server, Role: role, Term: term, Log: log, Applied: log, Lineage: l}
	f.Observe(server, s, f.at(ms), f.at(ms+1))
}

// freshAt returns the server's FreshAt in ms, and -1 when it is unknown.
func (f *ageFixture) freshAt(server string) int {
	r, _ := f.View().Replica(server)
	if r.FreshAt.IsZero() {
		return -1
	}
	return int(r.FreshAt.Sub(f.start).Milliseconds())
}

func (f *ageFixture) want(t *testing.T, server string, ms int) {
	t.Helper()
	if got := f.freshAt(server); got != ms {
		t.Errorf("%s is fresh at %d ms, want %d ms", server, got, ms)
	}
}

// Guards against ages that are too low. An age counts from the latest time at
// which the primary's log ended no later than the replica's, but not past the
// time at which a majority proves that it was still the primary.
func TestAges(t *testing.T) {
	f := newAgeFixture()
	f.see(10, "s1", RolePrimary, 1, "1:0", Position{1, 5})
	f.see(12, "s2", RoleReplica, 1, "1:0", Position{1, 5})
	f.want(t, "s2", 10)
	f.want(t, "s3", -1)

	f.see(20, "s1", RolePrimary, 1, "1:0", Position{1, 9})
	f.see(22, "s2", RoleReplica, 1, "1:0", Position{1, 7})
	f.see(23, "s3", RoleReplica, 1, "1:0", Position{1, 2})
	f.want(t, "s2", 10)
	f.want(t, "s3", -1)

	f.see(30, "s2", RoleReplica, 1, "1:0", Position{1, 9})
	f.want(t, "s2", 20)

	// A status of the primary alone proves nothing about later times.
	f.see(500, "s1", RolePrimary, 1, "1:0", Position{1, 9})
	f.want(t, "s2", 30)
}

// Guards against ages that are kept after a change of primary although the
// replica's log is not part of the new one.
func TestAgesAfterFailover(t *testing.T) {
	f := newAgeFixture()
	f.see(10, "s1", RolePrimary, 1, "1:0", Position{1, 9})
	f.see(12, "s2", RoleReplica, 1, "1:0", Position{1, 7})
	f.see(14, "s3", RoleReplica, 1, "1:0", Position{1, 7})
	f.want(t, "s2", -1)

	f.see(20, "s2", RolePrimary, 2, "1:0,2:7", Position{2, 8})
	f.see(22, "s3", RoleReplica, 2, "1:0,2:7", Position{2, 8})
	f.want(t, "s1", -1)
	f.want(t, "s3", 20)

	f.see(30, "s2", RolePrimary, 2, "1:0,2:7", Position{2, 8})
	f.see(32, "s3", RoleReplica, 2, "1:0,2:7", Position{2, 8})
	f.want(t, "s3", 30)

	// The old primary follows and truncates; it lacks the record of term 2.
	f.see(40, "s1", RoleReplica, 2, "1:0", Position{1, 7})
	f.want(t, "s1", 10)
}

// Guards against a new monitor that does not know the age of a replica that is
// behind.
func TestSeededAges(t *testing.T) {
	old := newAgeFixture()
	old.see(10, "s1", RolePrimary, 1, "1:0", Position{1, 5})
	old.see(12, "s2", RoleReplica, 1, "1:0", Position{1, 5})
	f := newAgeFixture()
	f.ImportAges(old.View())
	f.see(50, "s1", RolePrimary, 1, "1:0", Position{1, 90})
	f.see(51, "s3", RoleReplica, 1, "1:0", Position{1, 90})
	f.see(52, "s2", RoleReplica, 1, "1:0", Position{1, 6})
	f.want(t, "s2", 10)
	f.want(t, "s3", 50)
}

// Guards against a history that grows without bound, or returns a time that is
// too late after it was thinned.
func TestHistoryIsBounded(t *testing.T) {
	var h history
	start := time.Unix(1000, 0)
	for i := range 3 * maxSamples {
		h.add(start.Add(time.Duration(i)*time.Millisecond), uint64(i))
	}
	if n := len(h.samples); n > maxSamples {
		t.Errorf("%d samples", n)
	}
	for _, offset := range []uint64{0, 1, maxSamples, 2*maxSamples + 1, 3*maxSamples - 1} {
		at := h.freshAt(offset)
		if exact := start.Add(time.Duration(offset) * time.Millisecond); at.After(exact) {
			t.Errorf("offset %d is fresh at %v, after %v", offset, at, exact)
		}
	}
}

// Guards against a confirmation that waits until replicas apply a record, and
// against views and ages that count records that replicas store but have not
// applied.
func TestStoredAndApplied(t *testing.T) {
	f := newAgeFixture()
	f.see(10, "s1", RolePrimary, 1, "1:0", Position{1, 5})
	f.see(12, "s2", RoleReplica, 1, "1:0", Position{1, 5})
	f.see(20, "s1", RolePrimary, 1, "1:0", Position{1, 9})
	l := Lineage{{Term: 1}}
	late := Status{Server: "s2", Role: RoleReplica, Term: 1, Log: Position{1, 9}, Applied: Position{1, 5}, Lineage: l}
	f.Observe("s2", late, f.at(30), f.at(31))
	if got := f.State().Confirmed; got != (Position{1, 9}) {
		t.Errorf("confirmed up to %v", got)
	}
	if r, _ := f.View().Replica("s2"); r.Log != late.Applied {
		t.Errorf("view shows %v", r.Log)
	}
	f.want(t, "s2", 10)
	late.Applied = late.Log
	f.Observe("s2", late, f.at(40), f.at(41))
	f.want(t, "s2", 20)
}

// Guards against a record that is assigned to the wrong term.
func TestLineageAt(t *testing.T) {
	l := Lineage{{Term: 1}, {Term: 3, Start: 57}}
	for offset, want := range map[uint64]Position{0: {}, 1: {1, 1}, 57: {1, 57}, 58: {3, 58}} {
		if got := l.At(offset); got != want {
			t.Errorf("record %d is at %v, want %v", offset, got, want)
		}
	}
}
