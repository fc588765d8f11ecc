package dispatcher_test

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/dispatcher"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/exchanger/exchangertest"
	"marigoldhub.example/hub/internal/informer"
)

var returnTime = regexp.MustCompile(`; nothing ran, retry in (\d+) ms$`)

// Guards against refusals of writes, begins and reads of the primary that do not tell the
// caller when to come back, or tell a time after the timeout of the statement although the
// load passes before.
func TestRefusalsTellWhenToReturn(t *testing.T) {
	kinds := []struct {
		name string
		run  func(d *dispatcher.Dispatcher, id string) exchanger.Answer
	}{
		{"write", func(d *dispatcher.Dispatcher, id string) exchanger.Answer {
			return d.Run(request(id, exchanger.Write, informer.PrimaryReads))
		}},
		{"read of the primary", func(d *dispatcher.Dispatcher, id string) exchanger.Answer {
			return d.Run(request(id, exchanger.Read, informer.PrimaryReads))
		}},
		{"begin", func(d *dispatcher.Dispatcher, id string) exchanger.Answer {
			tx := d.Begin(request("begin", exchanger.Begin, informer.PrimaryReads))
			defer tx.Abandon()
			return tx.Run(request(id, exchanger.Write, informer.PrimaryReads))
		}},
	}
	for _, tc := range []struct {
		name string
		// fail makes the primary refuse.
		fail func(f *fixture, all *sync.WaitGroup)
	}{
		{"the primary's own queue is full", func(f *fixture, _ *sync.WaitGroup) { f.SetBusy("a", true) }},
		{"no primary is known", func(f *fixture, _ *sync.WaitGroup) {
			f.SetDown("a", true)
			f.d.Group(exchangertest.Service).Suspect("a", "test")
		}},
		{"too many wait", func(f *fixture, all *sync.WaitGroup) {
			for i := range 20 {
				all.Go(func() { f.d.Run(request(fmt.Sprint("block", i), exchanger.Write, informer.PrimaryReads)) })
			}
			time.Sleep(50 * time.Millisecond)
		}},
		{"the wait is in vain", func(f *fixture, all *sync.WaitGroup) {
			for i := range 3 {
				all.Go(func() { f.d.Run(request(fmt.Sprint("block", i), exchanger.Write, informer.PrimaryReads)) })
			}
			time.Sleep(50 * time.Millisecond)
		}},
	} {
		for _, k := range kinds {
			t.Run(tc.name+"/"+k.name, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				release := make(chan struct{})
				f.OnStatement = func(_ string, s exchanger.Statement) {
					switch {
					case s.ID == "warm":
						time.Sleep(100 * time.Millisecond)
					case strings.HasPrefix(s.ID, "block"):
						<-release
					}
				}
				if a := f.d.Run(request("warm", exchanger.Write, informer.PrimaryReads)); !a.OK() {
					t.Fatal(a.Code, a.Text)
				}
				var all sync.WaitGroup
				tc.fail(f, &all)
				a := k.run(f.d, "x")
				close(release)
				all.Wait()
				m := returnTime.FindStringSubmatch(a.Text)
				if a.Code != exchanger.Busy || m == nil {
					t.Fatalf("%v %q, want a refusal with a time", a.Code, a.Text)
				}
				if n, err := strconv.Atoi(m[1]); err != nil || n < 50 || n > 800 {
					t.Errorf("%q, want 50 to 800 ms", a.Text)
				}
				if len(f.ranAt("x")) > 0 {
					t.Error("the request ran")
				}
			})
		}
	}
}
