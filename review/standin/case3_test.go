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

// coordinatorLosesNewPrimary lets the primaries of three services leave, one after the other,
// and cuts each server that takes over off the one instance that changes primaries, while the
// promotion is under way.
func coordinatorLosesNewPrimary(w *world, trouble bool) error {
	if err := w.begin("pasar-a", "pasar-b", "pasar-c"); err != nil {
		return err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	defer running.Wait()
	defer close(stop)
	// The share of callers of an instance is uneven: all are at one.
	busy := w.other(w.coordinator())
	for i := range 12 {
		database := w.groups[i%len(w.groups)].service + "-primary"
		running.Go(func() { w.write(busy, database, fmt.Sprintf("w%d", i), 250*time.Millisecond, stop) })
	}
	time.Sleep(6 * time.Second)
	for _, g := range w.groups {
		if err := w.replaceAndCut(g, trouble); err != nil {
			return err
		}
	}
	return nil
}

// replaceAndCut lets the primary of one service leave. The server that takes over is cut off
// the instance that asked for its promotion.
func (w *world) replaceAndCut(g *group, trouble bool) error {
	promoted := make(chan struct{})
	var once sync.Once
	w.mu.Lock()
	w.onPromote = func(of *group, id string, by *node) {
		if of != g {
			return
		}
		once.Do(func() {
			close(promoted)
			for _, s := range g.servers {
				if s.id == id && trouble {
					time.AfterFunc(callToCut, func() { s.setCut(by, true) })
					time.AfterFunc(callToCut+cutTime, func() { s.setCut(by, false) })
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
	time.Sleep(callToCut + cutTime + 4*time.Second)
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
