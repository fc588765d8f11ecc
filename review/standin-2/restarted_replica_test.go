//go:build review

package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// writers are the sessions that write, with writePause between two writes of one: about 17
	// writes a second, which is the share of one of three services.
	writers    = 14
	writePause = 800 * time.Millisecond
	// cutTime is how long the primary is partitioned from cutNodes of the seven nodes.
	cutTime  = 4 * time.Second
	cutNodes = 3
	// replicaRestartTime is how long the replica is away.
	replicaRestartTime = 50 * time.Millisecond
)

// commits are the writes that were answered with success.
type commits struct {
	mu           sync.Mutex
	acknowledged []string
}

// playRestartedReplica cuts the primary off some nodes, among them the coordinator. When the
// platform has been asked to promote a replica, the other replica restarts under its id, and
// the one that is being promoted is busy until it leads.
func playRestartedReplica(w *world, trouble bool) (breaks []string, err error) {
	if err := w.startNodes(nodeZones); err != nil {
		return nil, err
	}
	primary := w.servers[w.Primary()]
	cut, err := w.chooseCut(primary)
	if err != nil {
		return nil, err
	}
	cs := &commits{}
	stop := make(chan struct{})
	var ended sync.WaitGroup
	for i := range writers {
		ended.Go(func() { w.write(w.nodes[i%len(w.nodes)], fmt.Sprintf("c%d", i), cs, stop) })
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w.restartOtherAtPromote(primary)
		w.rec.note("%s is cut off %v", primary.id, cut)
		primary.cut(cut)
		time.Sleep(cutTime)
		primary.cut(nil)
		w.rec.note("the cut is over")
	}
	time.Sleep(5 * time.Second)
	close(stop)
	ended.Wait()
	kept := w.Entries()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, id := range cs.acknowledged {
		if !slices.Contains(kept, id) {
			breaks = append(breaks, fmt.Sprintf("LOST: commit %s was acknowledged and is not in the log of the promoted server", id))
		}
	}
	w.rec.note("%d commits were acknowledged; %s", len(cs.acknowledged), w.Describe())
	return breaks, nil
}

// chooseCut returns the coordinator and some other nodes, not the one that sends the clients'
// statements to the primary. Before, it restarts the coordinator while it is that node.
func (w *world) chooseCut(primary *server) (map[string]bool, error) {
	for range 5 {
		time.Sleep(4 * time.Second)
		side, err := w.firstGateway(primary)
		if err != nil {
			return nil, err
		}
		coordinator, err := w.coordinator()
		if err != nil {
			return nil, err
		}
		w.rec.note("%s sends the statements for %s, %s is the coordinator", side.name, primary.id, coordinator)
		if coordinator == side.name {
			if err := w.restart(side); err != nil {
				return nil, err
			}
			continue
		}
		cut := map[string]bool{coordinator: true}
		for _, n := range w.nodes {
			if len(cut) < cutNodes && n != side {
				cut[n.name] = true
			}
		}
		return cut, nil
	}
	return nil, errors.New("the gateway of the primary stays the coordinator")
}

// restartOtherAtPromote restarts the replica that is not asked for at the first promote call.
func (w *world) restartOtherAtPromote(primary *server) {
	var once sync.Once
	w.onPromote = func(id string) {
		once.Do(func() {
			next := w.servers[id]
			next.setBusy(true)
			time.AfterFunc(promoteDelay, func() { next.setBusy(false) })
			for _, other := range w.servers {
				if other == next || other == primary {
					continue
				}
				w.rec.note("replica %s restarts under its id; %s", other.id, w.Describe())
				other.crash()
				w.Restart(other.id, true)
				time.AfterFunc(replicaRestartTime, func() {
					other.comeBack()
					w.rec.note("replica %s has started again", other.id)
				})
			}
		})
	}
	w.OnPromoted = func(id string, entries []string, servers string) {
		w.rec.note("%s is about to lead with %d commits; %s", id, len(entries), servers)
	}
}

// firstGateway returns the node that sends the clients' statements to the server.
func (w *world) firstGateway(s *server) (*node, error) {
	for _, n := range w.nodes {
		c, err := w.open(n, "booking", "p"+n.name)
		if err != nil {
			return nil, err
		}
		defer c.conn.Close()
		for range 10 {
			c.query("FETCH 1a4")
		}
	}
	name := s.scheduler()
	for _, n := range w.nodes {
		if n.name == name {
			return n, nil
		}
	}
	return nil, errors.New("no node has sent a statement to the primary")
}

// coordinator returns the name of the coordinator, which is in the store.
func (w *world) coordinator() (string, error) {
	e, ok, err := w.store.Get(context.Background(), "marigold/duty/live")
	if err != nil || !ok {
		return "", fmt.Errorf("there is no coordinator: %w", err)
	}
	return string(e.Value), nil
}

// restart stops a node and starts it again.
func (w *world) restart(n *node) error {
	n.cmd.Process.Signal(syscall.SIGTERM)
	<-n.ended
	n.ended = make(chan struct{})
	if err := w.startNode(n); err != nil {
		return err
	}
	return w.await(20*time.Second, n.name+" is ready again", n.isReady)
}

// write is a client that writes at a node. It connects again after an error.
func (w *world) write(n *node, name string, cs *commits, stop <-chan struct{}) {
	var c *client
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-time.After(writePause):
		}
		if c == nil {
			var err error
			if c, err = w.open(n, "booking", fmt.Sprintf("%s-%d", name, count)); err != nil {
				w.rec.note("%s: %v", name, err)
				c = nil
				continue
			}
		}
		a := c.query("PUT 1a4 x")
		if a.ok() {
			cs.mu.Lock()
			cs.acknowledged = append(cs.acknowledged, a.id)
			cs.mu.Unlock()
		}
		if a.ready == "" {
			c.conn.Close()
			c = nil
		}
	}
}
