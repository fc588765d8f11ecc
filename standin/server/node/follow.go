package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/standin/server/logstore"
)

const (
	dialTimeout = time.Second
	// followGrace is the longest wait for the answer to a follow command.
	followGrace = 100 * time.Millisecond
	// redialPause is the pause before a follower connects again.
	redialPause = 20 * time.Millisecond
	// silenceLimit is longer than several beats of the primary.
	silenceLimit = 3 * time.Second
)

// startFollowing follows meta.Follow, once answered is closed, until the epoch
// ends. The caller holds mu.
func (n *Node) startFollowing(answered <-chan struct{}) {
	ctx, cancel := context.WithCancel(n.ctx)
	n.stopFollowing = cancel
	addr, epoch := n.meta.Follow, n.epoch
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		defer cancel()
		select {
		case <-answered:
		case <-time.After(followGrace):
		case <-ctx.Done():
		}
		for ctx.Err() == nil {
			if err := n.followOnce(ctx, addr, epoch); err != nil && ctx.Err() == nil {
				n.cfg.Log.WithError(err).Debug("server: replication from the primary ended")
			}
			select {
			case <-ctx.Done():
			case <-time.After(redialPause):
			}
		}
	}()
}

// followOnce runs one replication connection.
func (n *Node) followOnce(ctx context.Context, addr string, epoch uint64) error {
	n.Freeze.Wait(ctx)
	d := net.Dialer{Timeout: dialTimeout}
	if n.cfg.LocalIP != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(n.cfg.LocalIP)}
	}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetReadDeadline(time.Now().Add(silenceLimit))
	dec := json.NewDecoder(bufio.NewReaderSize(conn, 64<<10))
	if err := n.shakeHands(conn, dec, epoch); err != nil {
		return err
	}
	return n.receive(ctx, conn, dec, epoch)
}

// shakeHands agrees with the primary on the last common record and truncates
// what comes after it.
func (n *Node) shakeHands(conn net.Conn, dec *json.Decoder, epoch uint64) error {
	enc := json.NewEncoder(conn)
	n.mu.RLock()
	h := hello{Server: n.cfg.Name, Term: n.meta.Term, Promoter: n.meta.Promoter}
	n.mu.RUnlock()
	if err := enc.Encode(h); err != nil {
		return err
	}
	var w welcome
	if err := dec.Decode(&w); err != nil {
		return err
	}
	if w.Refused != "" {
		return fmt.Errorf("%s refused: %s", w.Server, w.Refused)
	}
	after, err := n.join(w, epoch)
	if err != nil {
		return err
	}
	return enc.Encode(start{After: after})
}

func (n *Node) join(w welcome, epoch uint64) (uint64, error) {
	theirs, err := tracker.ParseLineage(w.Lineage)
	if err != nil {
		return 0, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.epoch != epoch {
		return 0, fmt.Errorf("epoch %d ended", epoch)
	}
	if w.Term < n.meta.Term {
		return 0, fmt.Errorf("%s has term %d, below %d", w.Server, w.Term, n.meta.Term)
	}
	if w.Term > n.meta.Term {
		n.meta.Term, n.meta.Promoter = w.Term, ""
		if err := n.meta.Save(n.cfg.Dir); err != nil {
			return 0, err
		}
	}
	end := n.log.End().Offset
	keep := common(n.log.Lineage(), end, theirs, w.End)
	if keep == end {
		return keep, nil
	}
	n.cfg.Log.WithFields(map[string]any{"from": end, "to": keep}).Info("server: log truncated")
	return keep, n.truncate(keep)
}

// truncate drops the stored records after keep. Rows are rebuilt only when they
// show one of them. The caller holds mu.
func (n *Node) truncate(keep uint64) error {
	n.cfg.DropClients()
	n.generation++
	if err := n.log.Truncate(keep); err != nil {
		return err
	}
	n.signal()
	if n.applied <= keep {
		return nil
	}
	return n.rebuild(n.log.After(0))
}

// common returns the offset of the last record that two logs share. Logs share
// a prefix, and records of the same term at the same offset are equal.
func common(a tracker.Lineage, aEnd uint64, b tracker.Lineage, bEnd uint64) uint64 {
	k := 0
	for k < len(a) && k < len(b) && a[k] == b[k] {
		k++
	}
	if k == 0 {
		return 0
	}
	if k < len(a) {
		aEnd = a[k].Start
	}
	if k < len(b) {
		bEnd = b[k].Start
	}
	return min(aEnd, bEnd)
}

// receive stores the records of each batch at once.
func (n *Node) receive(ctx context.Context, conn net.Conn, dec *json.Decoder, epoch uint64) error {
	for {
		var b batch
		conn.SetReadDeadline(time.Now().Add(silenceLimit))
		if err := dec.Decode(&b); err != nil {
			return err
		}
		n.awaitArrival(ctx, b.Records)
		n.Freeze.Wait(ctx)
		if err := n.keep(b.Records, epoch); err != nil {
			return err
		}
	}
}

// awaitArrival waits until all records are as old as the store delay.
func (n *Node) awaitArrival(ctx context.Context, records []logstore.Record) {
	d := time.Duration(n.storeDelay.Load())
	if d == 0 || len(records) == 0 {
		return
	}
	select {
	case <-time.After(time.Until(records[len(records)-1].At().Add(d))):
	case <-ctx.Done():
	}
}

// keep stores records, unless the epoch ended.
func (n *Node) keep(records []logstore.Record, epoch uint64) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.epoch != epoch {
		return fmt.Errorf("epoch %d ended", epoch)
	}
	if len(records) == 0 {
		return nil
	}
	defer n.signal()
	return n.log.Append(records...)
}
