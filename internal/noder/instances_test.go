package noder

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/registrar"
	"marigoldhub.example/hub/internal/storer/storertest"
	"marigoldhub.example/hub/platform"
)

// Guards against stopping instances that each take the whole connection limit of all servers
// when the others leave as well.
func TestInstancesWhileStopping(t *testing.T) {
	for _, tc := range []struct {
		name   string
		others []string
		// stopping is what instances returns after this one has left, want when the others
		// have left, too.
		stopping, want []string
	}{
		{"alone", nil, []string{"a"}, []string{"a"}},
		{"two", []string{"b"}, []string{"a", "b"}, []string{"a", "b"}},
		{"three", []string{"b", "c"}, []string{"b", "c"}, []string{"b", "c"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store, log := storertest.New(), logrus.New()
			log.SetOutput(io.Discard)
			for _, name := range tc.others {
				store.Put(registrar.Prefix+name, fmt.Appendf(nil, `{"name":%q,"incarnation":1}`, name))
			}
			r := registrar.New(registrar.Config{Store: store, Self: registrar.Instance{Name: "a"}, Clock: clockwork.NewRealClock(), Log: log})
			defer r.Close()
			awaitOthers := func(count int) {
				t.Helper()
				for deadline := time.Now().Add(10 * time.Second); !r.HasList() || len(r.Others()) != count; time.Sleep(time.Millisecond) {
					if time.Now().After(deadline) {
						t.Fatalf("the others are %v, want %d", r.Others(), count)
					}
				}
			}
			awaitOthers(len(tc.others))
			n := &Node{settings: platform.Settings{Instance: "a"}, registrar: r}
			names := func() (out []string) {
				for _, p := range n.instances() {
					out = append(out, p.Name)
				}
				return out
			}
			if got, all := names(), append([]string{"a"}, tc.others...); !slices.Equal(got, all) {
				t.Errorf("before the stop: %v, want %v", got, all)
			}
			n.draining, n.hasLeft = true, true
			if got := names(); !slices.Equal(got, tc.stopping) {
				t.Errorf("after this instance has left: %v, want %v", got, tc.stopping)
			}
			for _, name := range tc.others {
				r.Remove(name)
			}
			awaitOthers(0)
			if got := names(); !slices.Equal(got, tc.want) {
				t.Errorf("after all others have left: %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against work in proportion to the fleet for each request for primary leases and each
// refusal: an instance makes the list of peers and chooses its relay nine times a second and more.
func TestRosterIsMadeOncePerList(t *testing.T) {
	for _, instances := range []int{30, 100, 300} {
		store, log := storertest.New(), logrus.New()
		log.SetOutput(io.Discard)
		for i := range instances {
			name := fmt.Sprint("i", i)
			store.Put(registrar.Prefix+name, fmt.Appendf(nil, `{"name":%q,"zone":"z%d","address":%q,"incarnation":1}`, name, i%4, name))
		}
		r := registrar.New(registrar.Config{Store: store, Self: registrar.Instance{Name: "a", Zone: "z0"}, Clock: clockwork.NewRealClock(), Log: log})
		for !r.HasList() {
			time.Sleep(time.Millisecond)
		}
		n := &Node{settings: platform.Settings{Instance: "a", Zone: "z0"}, registrar: r, clock: clockwork.NewRealClock()}
		r.Close()
		relay, hasRelay := n.relay()
		if want, ok := placer.PrimaryLeaseRelay(n.self(), n.instances()); relay != want || hasRelay != ok || len(n.instances()) != instances+1 {
			t.Errorf("%d instances: relay %v, %v, want %v, %v", instances, relay, hasRelay, want, ok)
		}
		if got := testing.AllocsPerRun(100, func() { n.instances(); n.isReader(); n.relay() }); got > 0 {
			t.Errorf("%d instances: %.0f allocations while the list stays the same, want none", instances, got)
		}
		r.Remove("i7")
		if got := len(n.instances()); got != instances {
			t.Errorf("%d instances after one has left, want %d", got, instances)
		}
	}
}
