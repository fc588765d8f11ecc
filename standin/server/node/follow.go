package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"

	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/standin/server/logstore"
	"marigoldhub.example/hub/standin/server/rows"
)

const (
	dialTimeout = time.Second
	// followGrace is the longest wait for the answer to a follow command.
	followGrace = 100 * time.Millisecond
	// redialPause is the pause before a follower connects again.
	redialPause = 20 * time.Millisecond
	// silenceLimit is longer than several beats of the primary.
	silenceLimit = 3 * time.Second
	// receiveBuffer is the number of batches received ahead of applying.
	receiveBuffer = 64
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
	c, err := n.OpenRows()
	if err != nil {
		return err
	}
	defer c.Close()
	return n.receive(ctx, conn, dec, func(records []logstore.Record) error {
		return n.apply(ctx, c, records, epoch)
	})
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
	n.cfg.DropClients()
	if err := n.log.Truncate(keep); err != nil {
		return 0, err
	}
	n.signal()
	return keep, n.rebuild()
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

// receive reads batches and applies records when they are due.
func (n *Node) receive(ctx context.Context, conn net.Conn, dec *json.Decoder, apply func([]logstore.Record) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	batches := make(chan []logstore.Record, receiveBuffer)
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		for {
			var b batch
			conn.SetReadDeadline(time.Now().Add(silenceLimit))
			if err := dec.Decode(&b); err != nil {
				cancel(err)
				return
			}
			select {
			case batches <- b.Records:
			case <-ctx.Done():
				return
			}
		}
	}()
	defer conn.Close()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case records := <-batches:
			if err := n.applyWhenDue(ctx, records, apply); err != nil {
				return err
			}
		}
	}
}

func (n *Node) applyWhenDue(ctx context.Context, records []logstore.Record, apply func([]logstore.Record) error) error {
	for len(records) > 0 {
		due, err := n.waitDue(ctx, records)
		if err != nil {
			return err
		}
		n.Freeze.Wait(ctx)
		if err := apply(records[:due]); err != nil {
			return err
		}
		records = records[due:]
	}
	return nil
}

// waitDue waits until the first record is old enough and returns the number of
// records that are.
func (n *Node) waitDue(ctx context.Context, records []logstore.Record) (int, error) {
	for {
		n.mu.RLock()
		changed := n.changed
		n.mu.RUnlock()
		limit := time.Now().Add(-time.Duration(n.delay.Load()))
		due := 0
		for due < len(records) && !records[due].At().After(limit) {
			due++
		}
		if due > 0 {
			return due, nil
		}
		timer := time.NewTimer(records[0].At().Sub(limit))
		select {
		case <-ctx.Done():
			timer.Stop()
			return 0, context.Cause(ctx)
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// apply makes records visible and part of the log, unless the epoch ended.
func (n *Node) apply(ctx context.Context, c *rows.Conn, records []logstore.Record, epoch uint64) error {
	if err := n.lockWriter(ctx); err != nil {
		return err
	}
	defer func() { <-n.writer }()
	err := applyRecords(ctx, c, records, func() error {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.epoch != epoch {
			return fmt.Errorf("epoch %d ended", epoch)
		}
		if err := c.Exec(context.Background(), "COMMIT"); err != nil {
			return err
		}
		defer n.signal()
		return n.log.Append(records...)
	})
	if err == nil && slices.ContainsFunc(records, logstore.Record.ChangesSchema) {
		n.store.SchemaChanged()
	}
	return err
}
