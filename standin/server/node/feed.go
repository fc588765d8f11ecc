package node

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/standin/server/logstore"
)

const (
	maxBatch = 256
	// beatInterval is the longest pause between batches.
	beatInterval = 500 * time.Millisecond
)

// serveFeeds accepts followers.
func (n *Node) serveFeeds() {
	defer n.tasks.Done()
	for {
		conn, err := n.ln.Accept()
		if err != nil {
			return
		}
		if !n.addFeed(conn) {
			conn.Close()
			return
		}
		n.tasks.Add(1)
		go func() {
			defer n.tasks.Done()
			defer n.dropFeed(conn)
			err := n.feed(conn)
			n.cfg.Log.WithError(err).Debug("server: replication to a follower ended")
		}()
	}
}

func (n *Node) addFeed(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return false
	}
	n.feeds[conn] = struct{}{}
	return true
}

func (n *Node) dropFeed(conn net.Conn) {
	conn.Close()
	n.mu.Lock()
	delete(n.feeds, conn)
	n.mu.Unlock()
}

// closeFeeds ends all replication to followers. The caller holds mu.
func (n *Node) closeFeeds() {
	for conn := range n.feeds {
		conn.Close()
	}
}

// feed streams the log to one follower until the epoch or the connection ends,
// and tells why.
func (n *Node) feed(conn net.Conn) error {
	dec, enc := json.NewDecoder(conn), json.NewEncoder(conn)
	var h hello
	if err := dec.Decode(&h); err != nil {
		return err
	}
	n.Freeze.Wait(n.ctx)
	w, epoch := n.greet(h)
	if err := enc.Encode(w); err != nil {
		return err
	}
	if w.Refused != "" {
		return fmt.Errorf("refused %s: %s", h.Server, w.Refused)
	}
	var s start
	if err := dec.Decode(&s); err != nil {
		return err
	}
	for after := s.After; ; {
		records, changed, ok := n.nextRecords(after, epoch)
		if !ok {
			return fmt.Errorf("epoch %d ended", epoch)
		}
		if len(records) == 0 {
			select {
			case <-changed:
				continue
			case <-time.After(beatInterval):
			}
		}
		n.Freeze.Wait(n.ctx)
		if err := enc.Encode(batch{Records: records}); err != nil {
			return err
		}
		after += uint64(len(records))
	}
}

// greet answers a follower. A follower of a higher term fences this node: its
// promoter has replaced this node's primary.
func (n *Node) greet(h hello) (welcome, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	refused := ""
	switch {
	case h.Term > n.meta.Term:
		refused = "follower has a higher term"
		if err := n.fenceLocked(h.Term, h.Promoter); err != nil {
			n.cfg.Log.WithError(err).Error("server: state not saved")
		}
	case n.meta.Role != tracker.RolePrimary:
		refused = "not the primary"
	}
	return welcome{
		Server:  n.cfg.Name,
		Term:    n.meta.Term,
		Refused: refused,
		Lineage: n.log.Lineage().String(),
		End:     n.log.End().Offset,
	}, n.epoch
}

// nextRecords returns records after an offset, a channel that is closed at the
// next change, and false when the epoch ended.
func (n *Node) nextRecords(after, epoch uint64) ([]logstore.Record, <-chan struct{}, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.epoch != epoch || after > n.log.End().Offset {
		return nil, nil, false
	}
	records := n.log.After(after)
	return records[:min(len(records), maxBatch)], n.changed, true
}
