package loader

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"

	"marigoldhub.example/hub/internal/examiner"
)

// reconnectPause is the wait after a failed connection attempt.
const reconnectPause = 20 * time.Millisecond

// Caller is one session that survives connections.
type Caller struct {
	id        int
	target    Target
	history   *History
	rnd       *rand.Rand
	conn      *pgx.Conn
	address   string
	opTimeout time.Duration
}

// NewCaller returns a caller with its own random source.
func NewCaller(id int, seed uint64, target Target, history *History, opTimeout time.Duration) *Caller {
	return &Caller{
		id: id, target: target, history: history, opTimeout: opTimeout,
		rnd: rand.New(rand.NewPCG(seed, uint64(id))),
	}
}

// Close ends the connection.
func (c *Caller) Close() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// SwitchInstance drops the connection without notice, so that the next operation runs
// on another instance.
func (c *Caller) SwitchInstance() {
	if c.conn != nil {
		_ = c.conn.PgConn().Conn().Close()
		c.conn = nil
	}
}

// EnsureConnected makes sure that a connection exists. It retries until ctx ends.
func (c *Caller) EnsureConnected(ctx context.Context) error {
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	for {
		c.address = c.target.otherAddress(c.rnd, c.address)
		conn, err := c.target.connect(ctx, c.address)
		if err == nil {
			c.conn = conn
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(reconnectPause):
		}
	}
}

// run times one operation and records what the caller was told. A read that
// did not succeed is recorded with its outcome and judged by no rule.
func (c *Caller) run(ctx context.Context, op examiner.Operation, do func(ctx context.Context, conn *pgx.Conn) (int64, error)) (examiner.Operation, error) {
	if err := c.EnsureConnected(ctx); err != nil {
		return op, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.opTimeout)
	defer cancel()
	op.Caller, op.Session = c.id, c.id
	op.Start = c.history.Now()
	got, err := do(ctx, c.conn)
	op.End = c.history.Now()
	op.Got = got
	op.Outcome = OutcomeOf(err)
	if err != nil {
		op.Error = err.Error()
	}
	c.history.Add(op)
	return op, err
}

// Address returns the address of the newest connection.
func (c *Caller) Address() string { return c.address }

// CreateTables creates the tables that the operations use.
func (c *Caller) CreateTables(ctx context.Context) error {
	if err := c.EnsureConnected(ctx); err != nil {
		return err
	}
	for _, sql := range Schema {
		if _, err := c.conn.Exec(ctx, sql); err != nil {
			return err
		}
	}
	return nil
}
