package noder

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/registrar"
	"marigoldhub.example/hub/internal/storer/storertest"
	"marigoldhub.example/hub/platform"
)

// Guards against an instance of a large fleet that is cut off from all others and has no
// configuration for many seconds although its store answers.
func TestFirstReadOfALargeFleet(t *testing.T) {
	store, log := storertest.New(), logrus.New()
	log.SetOutput(io.Discard)
	const instances = 300
	for i := range instances - 1 {
		store.Put(registrar.Prefix+fmt.Sprint("i", i), fmt.Appendf(nil, `{"name":"i%d","incarnation":1}`, i))
	}
	r := registrar.New(registrar.Config{Store: store, Self: registrar.Instance{Name: "a"}, Clock: clockwork.NewRealClock(), Log: log})
	defer r.Close()
	for deadline := time.Now().Add(10 * time.Second); !r.HasList(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no list of the instances in 10 s")
		}
	}
	n := &Node{settings: platform.Settings{Instance: "a"}, registrar: r}
	for range 1000 {
		if got := n.firstReadPause(); got < time.Second || got > 2*time.Second {
			t.Fatalf("%v, want 1 to 2 s", got)
		}
	}
}
