package node

import (
	"context"
	"time"

	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/standin/server/logstore"
	"marigoldhub.example/hub/standin/server/rows"
)

// lockTimeout limits the wait for the one writer. It ends waits for a
// transaction that its client never finishes.
const lockTimeout = 5 * time.Second

// errReadOnly is the answer to writes on a server that is not primary.
var errReadOnly = &rows.Error{
	Code:    "25006",
	Message: "cannot execute a write: the server is not the primary of its term",
}

// WriteTx is an open write transaction. The node has at most one.
type WriteTx struct {
	node       *Node
	conn       *rows.Conn
	epoch      uint64
	statements []logstore.Statement
	schema     bool
	done       bool
	// kill makes the session that owns the transaction roll it back. It must
	// not block.
	kill func()
}

// BeginWrite takes the writer and opens a write transaction on conn, or turns
// the read transaction that is open on conn into one if inTx is set. kill is
// called when a fence ends the transaction.
func (n *Node) BeginWrite(ctx context.Context, conn *rows.Conn, inTx bool, kill func()) (*WriteTx, error) {
	if n.Status().Role != tracker.RolePrimary {
		return nil, errReadOnly
	}
	if err := n.lockWriter(ctx); err != nil {
		return nil, err
	}
	tx := &WriteTx{node: n, conn: conn, kill: kill}
	if err := n.admit(tx); err != nil {
		<-n.writer
		return nil, err
	}
	if inTx {
		return tx, nil
	}
	if err := conn.Exec(ctx, "BEGIN IMMEDIATE"); err != nil {
		tx.Rollback()
		return nil, err
	}
	return tx, nil
}

func (n *Node) lockWriter(ctx context.Context) error {
	timer := time.NewTimer(lockTimeout)
	defer timer.Stop()
	select {
	case n.writer <- struct{}{}:
		return nil
	case <-ctx.Done():
		return &rows.Error{Code: "57014", Message: "canceling statement due to user request"}
	case <-timer.C:
		return &rows.Error{Code: "40001", Message: "could not serialize access: another transaction is writing"}
	}
}

func (n *Node) admit(tx *WriteTx) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.meta.Role != tracker.RolePrimary {
		return errReadOnly
	}
	tx.epoch = n.epoch
	n.open = tx
	return nil
}

// Log adds a statement that ran in the transaction to its record.
func (tx *WriteTx) Log(s logstore.Statement) {
	tx.statements = append(tx.statements, s)
	tx.schema = tx.schema || s.Schema
}

// Mark returns the state that [WriteTx.ReturnTo] restores after a rollback to
// a savepoint.
func (tx *WriteTx) Mark() int { return len(tx.statements) }

// ReturnTo drops the statements logged after the mark.
func (tx *WriteTx) ReturnTo(mark int) { tx.statements = tx.statements[:mark] }

// Commit makes the rows visible and appends the record. After a fence it rolls
// back and fails with 25006.
func (tx *WriteTx) Commit() error {
	if tx.done {
		return errReadOnly
	}
	n := tx.node
	n.mu.Lock()
	if n.epoch != tx.epoch {
		n.mu.Unlock()
		tx.Rollback()
		return errReadOnly
	}
	if err := tx.conn.Exec(context.Background(), "COMMIT"); err != nil {
		n.mu.Unlock()
		tx.Rollback()
		return err
	}
	var err error
	if len(tx.statements) > 0 {
		err = n.append(newRecord(n.meta.Term, n.log.End().Offset+1, tx.statements))
		n.signal()
	}
	n.open = nil
	n.mu.Unlock()
	tx.finish()
	return err
}

// Rollback undoes the transaction.
func (tx *WriteTx) Rollback() {
	if tx.done {
		return
	}
	rollback(tx.conn)
	n := tx.node
	n.mu.Lock()
	if n.open == tx {
		n.open = nil
	}
	n.mu.Unlock()
	tx.finish()
}

func (tx *WriteTx) finish() {
	tx.done = true
	if tx.schema {
		tx.node.store.SchemaChanged()
	}
	<-tx.node.writer
}

func newRecord(term, offset uint64, statements []logstore.Statement) logstore.Record {
	return logstore.Record{Term: term, Offset: offset, AtMicros: time.Now().UnixMicro(), Statements: statements}
}

// Ended reports whether a fence ended the transaction.
func (tx *WriteTx) Ended() bool {
	tx.node.mu.RLock()
	defer tx.node.mu.RUnlock()
	return tx.node.epoch != tx.epoch
}
