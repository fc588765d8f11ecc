package loader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"

	"marigoldhub.example/hub/internal/examiner"
)

// Schema creates the tables that the operations use. Reads of table register
// are strict; reads of table catalogue accept data of a maximum age.
var Schema = []string{
	`CREATE TABLE IF NOT EXISTS register (key text PRIMARY KEY, value bigint NOT NULL)`,
	`CREATE TABLE IF NOT EXISTS catalogue (key text PRIMARY KEY, value bigint NOT NULL)`,
	`CREATE TABLE IF NOT EXISTS submission (key text NOT NULL)`,
	`CREATE TABLE IF NOT EXISTS payment (key text NOT NULL)`,
	`CREATE TABLE IF NOT EXISTS pair (key text NOT NULL, side bigint NOT NULL)`,
}

// Table is the name of a table with one value per key.
type Table string

const (
	// Register is the table whose reads are strict.
	Register Table = "register"
	// Catalogue is the table whose reads accept data of a maximum age.
	Catalogue Table = "catalogue"
)

// Write sets the value of a key in a single statement.
func (c *Caller) Write(ctx context.Context, table Table, key string, value int64) (examiner.Operation, error) {
	sql := `INSERT INTO ` + string(table) + ` (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value`
	op := examiner.Operation{Kind: examiner.Write, Key: key, Value: value}
	return c.run(ctx, op, func(ctx context.Context, conn *pgx.Conn) (int64, error) {
		_, err := conn.Exec(ctx, sql, key, value)
		return 0, err
	})
}

// Read reads the value of a key; a missing key reads 0. A read of Catalogue
// accepts data of age maxAge.
func (c *Caller) Read(ctx context.Context, table Table, key string, maxAge time.Duration) (examiner.Operation, error) {
	op := examiner.Operation{Kind: examiner.LinearizableRead, Key: key}
	if table == Catalogue {
		op.Kind, op.MaxAge = examiner.BoundedRead, maxAge
	}
	return c.run(ctx, op, func(ctx context.Context, conn *pgx.Conn) (int64, error) {
		var value int64
		err := conn.QueryRow(ctx, `SELECT value FROM `+string(table)+` WHERE key = $1`, key).Scan(&value)
		if errors.Is(err, pgx.ErrNoRows) {
			err = nil
		}
		return value, err
	})
}

// Insert inserts one row in a single statement.
func (c *Caller) Insert(ctx context.Context, key string) (examiner.Operation, error) {
	return c.run(ctx, examiner.Operation{Kind: examiner.Insert, Key: key}, func(ctx context.Context, conn *pgx.Conn) (int64, error) {
		_, err := conn.Exec(ctx, `INSERT INTO submission (key) VALUES ($1)`, key)
		return 0, err
	})
}

// InsertPair inserts two rows in one transaction and calls between after the
// first.
func (c *Caller) InsertPair(ctx context.Context, key string, between func()) (examiner.Operation, error) {
	return c.run(ctx, examiner.Operation{Kind: examiner.PairInsert, Key: key}, func(ctx context.Context, conn *pgx.Conn) (int64, error) {
		return 0, inTransaction(ctx, conn, func(tx pgx.Tx) error {
			if _, err := tx.Exec(ctx, `INSERT INTO pair (key, side) VALUES ($1, 1)`, key); err != nil {
				return err
			}
			between()
			_, err := tx.Exec(ctx, `INSERT INTO pair (key, side) VALUES ($1, 2)`, key)
			return err
		})
	})
}

// Pay inserts a payment in a transaction with a request key. Instances run a
// request at most once per key, so the caller may repeat it.
func (c *Caller) Pay(ctx context.Context, key string) (examiner.Operation, error) {
	return c.run(ctx, examiner.Operation{Kind: examiner.KeyedRequest, Key: key}, func(ctx context.Context, conn *pgx.Conn) (int64, error) {
		return 0, inTransaction(ctx, conn, func(tx pgx.Tx) error {
			if _, err := tx.Exec(ctx, fmt.Sprintf(`SET LOCAL marigold.request_key = '%s'`, key)); err != nil {
				return err
			}
			_, err := tx.Exec(ctx, `INSERT INTO payment (key) VALUES ($1)`, key)
			return err
		})
	})
}

// Echo selects a constant that no other caller selects, so that a response that
// reached the wrong caller is found.
func (c *Caller) Echo(ctx context.Context, value int64) (examiner.Operation, error) {
	return c.run(ctx, examiner.Operation{Kind: examiner.Echo, Value: value}, func(ctx context.Context, conn *pgx.Conn) (int64, error) {
		var got int64
		err := conn.QueryRow(ctx, `SELECT $1::bigint`, value).Scan(&got)
		return got, err
	})
}

// notSentError marks an error before COMMIT was sent: the server rolls the
// transaction back when its connection ends.
type notSentError struct{ error }

func (e notSentError) Unwrap() error { return e.error }

// SafeToRetry makes pgconn.SafeToRetry report true for the error.
func (e notSentError) SafeToRetry() bool { return true }

func inTransaction(ctx context.Context, conn *pgx.Conn, body func(pgx.Tx) error) error {
	tx, err := conn.Begin(ctx)
	if err != nil {
		return notSentError{err}
	}
	if err := body(tx); err != nil {
		_ = tx.Rollback(ctx)
		return notSentError{err}
	}
	return tx.Commit(ctx)
}
