package tracker

import (
	"testing"
	"time"
)

// Guards against new work that is sent to a primary that a majority no longer
// follows: it could only fail.
func TestViewReplaced(t *testing.T) {
	now := time.Now()
	tr := New(Group{Name: "g", Servers: []Server{{Name: "a"}, {Name: "b"}, {Name: "c"}}})
	observe := func(server string, role Role, term uint64, log Position, lineage Lineage) {
		now = now.Add(time.Millisecond)
		tr.Observe(server, Status{Server: server, Role: role, Term: term, Log: log, Lineage: lineage}, now, now)
	}
	first := Lineage{{Term: 1}}
	second := Lineage{{Term: 1}, {Term: 2, Start: 5}}
	steps := []struct {
		name    string
		do      func()
		primary string
		want    bool
	}{
		{"first term established", func() {
			observe("a", RolePrimary, 1, Position{1, 5}, first)
			observe("b", RoleReplica, 1, Position{1, 5}, first)
			observe("c", RoleReplica, 1, Position{1, 5}, first)
		}, "a", false},
		{"one server fenced", func() { observe("b", RoleFenced, 2, Position{1, 5}, first) }, "a", false},
		{"majority fenced", func() { observe("c", RoleFenced, 2, Position{1, 5}, first) }, "a", true},
		{"promoted, not established", func() { observe("b", RolePrimary, 2, Position{2, 6}, second) }, "a", true},
		{"established", func() { observe("c", RoleReplica, 2, Position{2, 6}, second) }, "b", false},
	}
	for _, s := range steps {
		before := tr.View()
		changed := tr.Changed()
		s.do()
		v := tr.View()
		if v.Replaced != s.want || v.Primary != s.primary {
			t.Errorf("%s: primary %q replaced %v, want %q %v", s.name, v.Primary, v.Replaced, s.primary, s.want)
		}
		select {
		case <-changed:
		default:
			if v.Replaced != before.Replaced {
				t.Errorf("%s: the change was not announced", s.name)
			}
		}
	}
}
