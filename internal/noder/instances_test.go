package noder

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

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
