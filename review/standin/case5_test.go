//go:build review

package standin

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases[5] = callArrivesLate }

// callArrivesLate cuts the instance that changes primaries off the platform while it replaces
// a primary that has crashed.
func callArrivesLate(w *world, trouble bool) error {
	if err := w.begin("pasar-a", "pasar-b", "pasar-c"); err != nil {
		return err
	}
	coordinator := w.coordinator()
	stop := make(chan struct{})
	var running sync.WaitGroup
	defer running.Wait()
	defer close(stop)
	for i := range writers {
		database := w.groups[i%len(w.groups)].service + "-primary"
		running.Go(func() {
			w.write(w.nodes[i%len(w.nodes)], database, fmt.Sprintf("w%d", i), writePause, stop)
		})
	}
	time.Sleep(4 * time.Second)
	// A planned change before: its connection to the platform stays open.
	w.groups[1].mu.Lock()
	leaving := w.groups[1].leader()
	w.groups[1].mu.Unlock()
	leaving.drain()
	time.Sleep(4 * time.Second)
	g := w.groups[0]
	g.mu.Lock()
	primary := g.leader()
	g.mu.Unlock()
	if !trouble {
		time.Sleep(cutTime + 4*time.Second)
		return nil
	}
	primary.crash()
	w.note("%s is cut off the platform", coordinator.name)
	coordinator.storeLink.setCut(true)
	coordinator.cloudLink.setCut(true)
	time.Sleep(cutTime)
	coordinator.storeLink.setCut(false)
	coordinator.cloudLink.setCut(false)
	w.note("%s reaches the platform again", coordinator.name)
	time.Sleep(time.Second)
	primary.restart()
	time.Sleep(3 * time.Second)
	return nil
}
