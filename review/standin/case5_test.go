//go:build review

package standin

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases[5] = primaryRestartsEmpty }

const (
	// restartTime is how long the primary is down.
	restartTime = 80 * time.Millisecond
	// readers is the number of sessions that read.
	readers = 21
)

// primaryRestartsEmpty crashes a primary, which starts again under its id and holds nothing.
func primaryRestartsEmpty(w *world, trouble bool) error {
	if err := w.begin("pasar-a"); err != nil {
		return err
	}
	g := w.groups[0]
	stop := make(chan struct{})
	var running sync.WaitGroup
	defer running.Wait()
	defer close(stop)
	for i := range 7 {
		running.Go(func() {
			w.write(w.nodes[i], g.service+"-primary", fmt.Sprintf("w%d", i), 150*time.Millisecond, stop)
		})
	}
	for i := range readers {
		running.Go(func() {
			w.read(w.nodes[i%len(w.nodes)], g.service+"-primary", fmt.Sprintf("r%d", i), 40*time.Millisecond, stop)
		})
	}
	time.Sleep(6 * time.Second)
	g.mu.Lock()
	primary := g.leader()
	g.mu.Unlock()
	if trouble {
		primary.crash()
		time.Sleep(restartTime)
		primary.restartEmpty()
	}
	time.Sleep(6 * time.Second)
	return nil
}

// read reads in one session after the other until stop is closed.
func (w *world) read(n *node, database, name string, pause time.Duration, stop chan struct{}) {
	for session := 0; ; session++ {
		c, err := w.connect(n, database, fmt.Sprintf("%s-s%d", name, session))
		for err == nil {
			sent := time.Now()
			r := c.send("FETCH item1")
			if r.ok() {
				w.groupOf(database).checkRead(r.id, sent)
			}
			if r.end == "closed" || isClosed(stop, pause) {
				break
			}
		}
		if c != nil {
			c.close()
		}
		if isClosed(stop, pause) {
			return
		}
	}
}
