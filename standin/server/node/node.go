package node

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/standin/server/logstore"
	"marigoldhub.example/hub/standin/server/rows"
)

// Node is one backend server's replicated state.
type Node struct {
	cfg   Config
	store *rows.Store
	// Freeze stops replication while it is closed.
	Freeze *Gate

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	ln     net.Listener
	writer chan struct{}
	delay  atomic.Int64
	// storeDelay is the age at which a replica stores a record.
	storeDelay atomic.Int64
	leaving    atomic.Bool

	mu    sync.RWMutex
	meta  logstore.Meta
	epoch uint64
	log   *logstore.Log
	// applied is the offset of the last record whose effects are visible.
	applied uint64
	// generation counts truncations.
	generation uint64
	open       *WriteTx
	// changed is closed and replaced when log, term or role change.
	changed chan struct{}
	// stopFollowing ends the replication that follows meta.Follow.
	stopFollowing context.CancelFunc
	feeds         map[net.Conn]struct{}
}

// Start opens the node below cfg.Dir, rebuilds its rows and starts
// replication.
func Start(cfg Config) (*Node, error) {
	n := &Node{
		cfg:           cfg,
		Freeze:        NewGate(),
		writer:        make(chan struct{}, 1),
		changed:       make(chan struct{}),
		stopFollowing: func() {},
		feeds:         map[net.Conn]struct{}{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.delay.Store(int64(cfg.ApplyDelay))
	if err := n.load(); err != nil {
		n.Close()
		return nil, err
	}
	ln, err := net.Listen("tcp", cfg.ReplicationListen)
	if err != nil {
		n.Close()
		return nil, err
	}
	n.ln = ln
	n.tasks.Add(2)
	go n.serveFeeds()
	go n.applyStored()
	if n.meta.Role == tracker.RoleReplica {
		now := make(chan struct{})
		close(now)
		n.mu.Lock()
		n.startFollowing(now)
		n.mu.Unlock()
	}
	n.logState()
	return n, nil
}

func (n *Node) load() error {
	if err := os.MkdirAll(n.cfg.Dir, 0o755); err != nil {
		return err
	}
	meta, ok, err := logstore.LoadMeta(n.cfg.Dir)
	if err != nil {
		return err
	}
	if n.log, err = logstore.Open(n.cfg.Dir); err != nil {
		return err
	}
	if n.store, err = rows.NewStore(n.cfg.Dir); err != nil {
		return err
	}
	wasPrimary := ok && meta.Role == tracker.RolePrimary
	switch {
	case !ok:
		meta = n.firstMeta()
	case wasPrimary:
		// A restarted primary may have been replaced meanwhile.
		meta.Role = tracker.RoleFenced
	}
	if n.log.End().IsZero() {
		if err := n.log.Append(firstRecord()); err != nil {
			return err
		}
	}
	n.meta = meta
	if err := meta.Save(n.cfg.Dir); err != nil {
		return err
	}
	records := n.log.After(0)
	if wasPrimary {
		return n.rebuild(records)
	}
	return n.rebuild(records[:n.due(records)])
}

func (n *Node) firstMeta() logstore.Meta {
	m := logstore.Meta{Term: 1, Role: tracker.RoleFenced}
	switch {
	case n.cfg.InitialPrimary:
		m.Role = tracker.RolePrimary
		m.Promoter = "initial"
	case n.cfg.Follow != "":
		m.Role = tracker.RoleReplica
		m.Follow = n.cfg.Follow
	}
	return m
}

// firstRecord is the start of every log. It is the same on every server, so
// that new servers share a lineage.
func firstRecord() logstore.Record {
	const sql = "CREATE TABLE marigold_request (request_key text PRIMARY KEY NOT NULL, outcome text, caller text)"
	return logstore.Record{Term: 1, Offset: 1, Statements: []logstore.Statement{{SQL: sql}}}
}

// rebuild makes the rows from the first records of the log.
func (n *Node) rebuild(records []logstore.Record) error {
	if err := n.store.NextGeneration(); err != nil {
		return err
	}
	c, err := n.store.Open()
	if err != nil {
		return err
	}
	defer c.Close()
	return applyRecords(n.ctx, c, records, func() error {
		n.applied = uint64(len(records))
		return c.Exec(n.ctx, "COMMIT")
	})
}

// applyRecords runs the statements of records in one transaction, which commit
// ends.
func applyRecords(ctx context.Context, c *rows.Conn, records []logstore.Record, commit func() error) error {
	if err := c.Exec(ctx, "BEGIN IMMEDIATE"); err != nil {
		return err
	}
	for _, r := range records {
		for _, s := range r.Statements {
			if _, err := c.Run(ctx, s.SQL, s.DriverArgs(), false); err != nil {
				rollback(c)
				return err
			}
		}
	}
	if err := commit(); err != nil {
		rollback(c)
		return err
	}
	return nil
}

// rollback ends an open transaction. It fails when SQLite has already rolled
// back, which is what the caller wants.
func rollback(c *rows.Conn) { _ = c.Exec(context.Background(), "ROLLBACK") }

// OpenRows opens a connection to the rows after a rebuild that is under way. A
// client session must be known to DropClients before, so that a truncation
// that begins later ends it.
func (n *Node) OpenRows() (*rows.Conn, error) {
	n.mu.RLock()
	//lint:ignore SA2001 Waiting for the lock is the purpose; opening can be slow and must not hold it.
	n.mu.RUnlock()
	return n.store.Open()
}

// Schema returns a number that changes with the schema.
func (n *Node) Schema() uint64 { return n.store.Schema() }

// Status returns the status row without the connection count.
func (n *Node) Status() tracker.Status {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.statusLocked()
}

func (n *Node) statusLocked() tracker.Status {
	return tracker.Status{
		Server:   n.cfg.Name,
		Role:     n.meta.Role,
		Term:     n.meta.Term,
		Promoter: n.meta.Promoter,
		Log:      n.log.End(),
		Applied:  n.log.Lineage().At(n.applied),
		Lineage:  n.log.Lineage(),
		Leaving:  n.leaving.Load(),
	}
}

// Records returns the stored log. The caller must not change it.
func (n *Node) Records() []logstore.Record {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.log.After(0)
}

// ReplicationAddr returns the address that followers connect to.
func (n *Node) ReplicationAddr() string { return n.ln.Addr().String() }

// SetLeaving sets the leaving mark of the status row.
func (n *Node) SetLeaving(on bool) { n.leaving.Store(on) }

// SetApplyDelay sets the age at which a replica applies a record.
func (n *Node) SetApplyDelay(d time.Duration) {
	n.delay.Store(int64(d))
	n.mu.Lock()
	n.signal()
	n.mu.Unlock()
}

// SetStoreDelay sets the age at which a replica stores a record, as a slow
// network would. It concerns records that arrive later.
func (n *Node) SetStoreDelay(d time.Duration) { n.storeDelay.Store(int64(d)) }

// signal wakes those who wait for a change. The caller holds mu.
func (n *Node) signal() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Close stops replication and closes the log. Open write transactions can no
// longer commit.
func (n *Node) Close() {
	n.cancel()
	if n.ln != nil {
		n.ln.Close()
	}
	n.mu.Lock()
	n.epoch++
	n.closeFeeds()
	n.signal()
	n.mu.Unlock()
	n.tasks.Wait()
	if n.store != nil {
		n.store.Close()
	}
	if n.log != nil {
		n.log.Close()
	}
}
