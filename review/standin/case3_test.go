//go:build review

package standin

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases[3] = coordinatorLosesNewPrimary }

// callToCut is the time from the promote call to the cut. A promotion takes 600 ms.
const callToCut = 100 * time.Millisecond

// coordinatorLosesNewPrimary lets a primary leave, and cuts the server that takes over off
// the one instance that changes primaries, while the promotion is under way.
func coordinatorLosesNewPrimary(w *world, trouble bool) error {
	if err := w.begin("pasar-a", "pasar-b", "pasar-c"); err != nil {
		return err
	}
	coordinator := w.coordinator()
	stop := make(chan struct{})
	var running sync.WaitGroup
	defer running.Wait()
	defer close(stop)
	// The share of callers of an instance is uneven: all of the first service are at one.
	for i := range 4 {
		running.Go(func() {
			w.write(w.other(coordinator), w.groups[0].service+"-primary", fmt.Sprintf("w%d", i), 150*time.Millisecond, stop)
		})
	}
	time.Sleep(6 * time.Second)
	g := w.groups[0]
	promoted := make(chan struct{})
	var once sync.Once
	w.mu.Lock()
	w.onPromote = func(of *group, id string, _ *node) {
		if of != g {
			return
		}
		once.Do(func() {
			close(promoted)
			for _, s := range g.servers {
				if s.id == id && trouble {
					time.AfterFunc(callToCut, func() { s.setCut(coordinator, true) })
					time.AfterFunc(callToCut+cutTime, func() { s.setCut(coordinator, false) })
				}
			}
		})
	}
	w.mu.Unlock()
	g.mu.Lock()
	primary := g.leader()
	g.mu.Unlock()
	primary.drain()
	select {
	case <-promoted:
	case <-time.After(10 * time.Second):
		return fmt.Errorf("the primary that leaves was not replaced")
	}
	time.Sleep(callToCut + cutTime + 3*time.Second)
	return nil
}

// other returns an instance that is not the given one.
func (w *world) other(n *node) *node {
	for _, o := range w.nodes {
		if o != n {
			return o
		}
	}
	return nil
}
