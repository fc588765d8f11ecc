//go:build review

package standin

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases[2] = chosenReplicaRestartsEmpty }

const (
	// pauseToCrash is the time from the pause of the replica to its crash.
	pauseToCrash = 50 * time.Millisecond
	// emptyAfter is how long the replica is down.
	emptyAfter = 500 * time.Millisecond
	// primaryDown is how long the primary is down.
	primaryDown = 6 * time.Second
)

// chosenReplicaRestartsEmpty crashes a primary and, during the failover, the replica that is
// first in the order of ids. The replica starts again under its id and holds nothing.
func chosenReplicaRestartsEmpty(w *world, trouble bool) error {
	if err := w.begin("pasar-a", "pasar-b", "pasar-c"); err != nil {
		return err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	defer running.Wait()
	defer close(stop)
	for i := range writers {
		database := w.groups[i%len(w.groups)].service + "-primary"
		running.Go(func() { w.write(w.nodes[i%len(w.nodes)], database, fmt.Sprintf("w%d", i), writePause, stop) })
	}
	time.Sleep(5 * time.Second)
	if !trouble {
		time.Sleep(primaryDown + 3*time.Second)
		return nil
	}
	g := w.groups[0]
	var first *server
	g.mu.Lock()
	primary := g.leader()
	for _, s := range g.servers {
		if s != primary && (first == nil || s.id < first.id) {
			first = s
		}
	}
	var once sync.Once
	first.onPause = func() {
		once.Do(func() {
			time.AfterFunc(pauseToCrash, first.crash)
			time.AfterFunc(pauseToCrash+emptyAfter, first.restartEmpty)
		})
	}
	g.mu.Unlock()
	primary.crash()
	time.Sleep(primaryDown)
	primary.restart()
	time.Sleep(3 * time.Second)
	return nil
}
