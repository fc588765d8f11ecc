package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"marigoldhub.example/hub/standin/server/logstore"
	"marigoldhub.example/hub/standin/server/rows"
)

const (
	// applyRetry is the pause after records could not be applied.
	applyRetry = 20 * time.Millisecond
	// promoteTimeout limits the time for which a promotion applies records.
	promoteTimeout = 30 * time.Second
)

// errTruncated ends work on records that may no longer be in the log.
var errTruncated = errors.New("log was truncated")

// applyStored applies stored records when they are due, until the node closes.
func (n *Node) applyStored() {
	defer n.tasks.Done()
	for n.ctx.Err() == nil {
		err := n.applyGeneration()
		if n.ctx.Err() != nil || errors.Is(err, errTruncated) {
			continue
		}
		n.cfg.Log.WithError(err).Warn("server: records not applied")
		select {
		case <-n.ctx.Done():
		case <-time.After(applyRetry):
		}
	}
}

// applyGeneration applies records until the log is truncated.
func (n *Node) applyGeneration() error {
	c, generation, err := n.openGeneration()
	if err != nil {
		return err
	}
	defer c.Close()
	for {
		if err := n.waitDue(generation); err != nil {
			return err
		}
		n.Freeze.Wait(n.ctx)
		if _, err := n.applyNext(n.ctx, c, generation, n.due); err != nil {
			return err
		}
	}
}

// openGeneration opens rows that belong to the returned generation or to a
// later one.
func (n *Node) openGeneration() (*rows.Conn, uint64, error) {
	n.mu.RLock()
	generation := n.generation
	n.mu.RUnlock()
	c, err := n.store.Open()
	return c, generation, err
}

// due returns the number of records that are as old as the apply delay.
func (n *Node) due(records []logstore.Record) int {
	limit := time.Now().Add(-time.Duration(n.delay.Load()))
	i := slices.IndexFunc(records, func(r logstore.Record) bool { return r.At().After(limit) })
	if i < 0 {
		return len(records)
	}
	return i
}

// waitDue waits until the next stored record is due.
func (n *Node) waitDue(generation uint64) error {
	for {
		n.mu.RLock()
		changed, current := n.changed, n.generation
		records := n.log.After(n.applied)
		n.mu.RUnlock()
		if current != generation {
			return errTruncated
		}
		if len(records) > 0 && n.due(records[:1]) > 0 {
			return nil
		}
		var timer <-chan time.Time
		if len(records) > 0 {
			timer = time.After(time.Until(records[0].At().Add(time.Duration(n.delay.Load()))))
		}
		select {
		case <-n.ctx.Done():
			return n.ctx.Err()
		case <-changed:
		case <-timer:
		}
	}
}

// applyNext makes the next stored records visible, as many as due tells, and
// returns their number.
func (n *Node) applyNext(
	ctx context.Context, c *rows.Conn, generation uint64, due func([]logstore.Record) int,
) (int, error) {
	// The writer is taken so that only one task at a time moves applied on.
	if err := n.lockWriter(ctx); err != nil {
		return 0, err
	}
	defer func() { <-n.writer }()
	n.mu.RLock()
	records := n.log.After(n.applied)
	n.mu.RUnlock()
	records = records[:min(len(records), maxBatch)]
	records = records[:due(records)]
	if len(records) == 0 {
		return 0, nil
	}
	err := applyRecords(ctx, c, records, func() error {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.generation != generation {
			return errTruncated
		}
		if err := c.Exec(context.Background(), "COMMIT"); err != nil {
			return err
		}
		n.applied = records[len(records)-1].Offset
		n.signal()
		return nil
	})
	if err == nil && slices.ContainsFunc(records, logstore.Record.ChangesSchema) {
		n.store.SchemaChanged()
	}
	return len(records), err
}

// applyAll applies the stored records, as long as the promotion is accepted and
// the log is not truncated.
func (n *Node) applyAll(term uint64, promoter string) error {
	ctx, cancel := context.WithTimeout(n.ctx, promoteTimeout)
	defer cancel()
	if !n.hasToApply(term, promoter) {
		return nil
	}
	c, generation, err := n.openGeneration()
	if err != nil {
		return err
	}
	defer c.Close()
	all := func(records []logstore.Record) int { return len(records) }
	for n.hasToApply(term, promoter) {
		_, err := n.applyNext(ctx, c, generation, all)
		if errors.Is(err, errTruncated) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("apply stored records: %w", err)
		}
	}
	return nil
}

func (n *Node) hasToApply(term uint64, promoter string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.mayLead(term, promoter) && n.applied < n.log.End().Offset
}
