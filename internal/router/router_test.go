package router

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/tracker"
)

type source struct {
	catalog *checker.Catalog
	view    tracker.View
}

func (s *source) Catalog() *checker.Catalog        { return s.catalog }
func (s *source) View(string) (tracker.View, bool) { return s.view, true }
func (s *source) Changed(string) <-chan struct{}   { return nil }

type catalogs struct{ *source }

func (catalogs) Changed() <-chan struct{} { return nil }

// Guards against the choice of a replica that does not cover the session's
// minimum position, is too old, drained, leaving or unreachable, and against
// sending reads to the primary without need.
func TestChoose(t *testing.T) {
	now := time.Now()
	replica := func(server string, offset uint64, age time.Duration) tracker.ReplicaView {
		return tracker.ReplicaView{Server: server, Log: tracker.Position{Term: 2, Offset: offset}, FreshAt: now.Add(-age), Reachable: true}
	}
	near, far := replica("b", 10, time.Second), replica("c", 12, time.Second)
	leaving, gone := near, near
	leaving.Leaving, gone.Reachable = true, false
	withMinPosition := func(offset uint64) Request {
		return Request{Group: "g", Tables: []string{"titles"}, MinPosition: tracker.Position{Term: 1, Offset: offset}, HasMinPosition: true}
	}
	// The view is 200 ms old; the replica was 50 ms behind then.
	behind := replica("b", 10, 250*time.Millisecond)
	behind.SeenAt = now.Add(-200 * time.Millisecond)
	confirmed := func(ago time.Duration) Request {
		r := withMinPosition(11)
		r.MinPositionAt = now.Add(-ago)
		return r
	}
	with := func(r Request, change func(*Request)) Request { change(&r); return r }
	cases := []struct {
		name     string
		policy   Policy
		replicas []tracker.ReplicaView
		req      Request
		want     string
		bounded  bool
	}{
		{"own zone", Session, []tracker.ReplicaView{far, near}, withMinPosition(9), "b", true},
		{"minimum position above near replica", Session, []tracker.ReplicaView{far, near}, withMinPosition(11), "c", true},
		{"minimum position above all", Session, []tracker.ReplicaView{far, near}, withMinPosition(13), "", true},
		{"minimum position expected to be applied", Session, []tracker.ReplicaView{behind}, confirmed(70 * time.Millisecond), "b", true},
		{"minimum position confirmed too recently", Session, []tracker.ReplicaView{behind}, confirmed(40 * time.Millisecond), "", true},
		{"minimum position confirmed at unknown time", Session, []tracker.ReplicaView{behind}, withMinPosition(11), "", true},
		{"no minimum position", Session, []tracker.ReplicaView{near}, Request{Group: "g", Tables: []string{"titles"}}, "", true},
		{"too old", Session, []tracker.ReplicaView{replica("b", 10, time.Minute)}, withMinPosition(9), "", true},
		{"leaving", Session, []tracker.ReplicaView{leaving}, withMinPosition(9), "", true},
		{"unreachable", Session, []tracker.ReplicaView{gone}, withMinPosition(9), "", true},
		{"drained", Session, []tracker.ReplicaView{replica("d", 99, 0)}, withMinPosition(9), "", true},
		{"primary listed", Session, []tracker.ReplicaView{replica("a", 99, 0)}, withMinPosition(9), "", true},
		{"no rule", Session, []tracker.ReplicaView{near}, with(withMinPosition(9), func(r *Request) { r.Tables = []string{"orders"} }), "", false},
		{"previous", Session, []tracker.ReplicaView{far, near}, with(withMinPosition(9), func(r *Request) { r.Previous = "c" }), "c", true},
		{"avoided", Session, []tracker.ReplicaView{far, near}, with(withMinPosition(9), func(r *Request) { r.Avoid = []string{"b"} }), "c", true},
		{"all primary", AllPrimary, []tracker.ReplicaView{near}, withMinPosition(9), "", true},
		{"ignore session", IgnoreSession, []tracker.ReplicaView{near}, withMinPosition(99), "b", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &source{
				catalog: checker.NewCatalog(checker.Manifest{
					Groups: []checker.Group{{Name: "g", Servers: []checker.Server{{Name: "a"}, {Name: "b", Zone: "z1"}, {Name: "c", Zone: "z2"}, {Name: "d"}}}},
					Reads:  []checker.ReadRule{{Group: "g", Tables: []string{"public.titles"}, MaxAge: checker.Duration(10 * time.Second)}},
					Drains: []checker.Drain{{Group: "g", Server: "d"}},
				}),
				view: tracker.View{Group: "g", Term: 2, Primary: "a", Replicas: c.replicas},
			}
			r := New(Config{Policy: c.policy, Zone: "z1"}, catalogs{s}, s, func(string, string) int { return 0 })
			got := r.Choose(c.req, now)
			if got.Replica != c.want || got.Bounded != c.bounded {
				t.Errorf("got replica %q bounded %v, want %q %v", got.Replica, got.Bounded, c.want, c.bounded)
			}
		})
	}
}
