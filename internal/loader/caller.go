package loader

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"

	"marigoldhub.example/hub/internal/examiner"
)

// reconnectPause is the delay after a failed connection attempt.
const reconnectPause = 20 * time.Millisecond

// Caller is one client session, which continues across connections. It is not
// safe for concurrent use.
type Caller struct {
	id        int
	target    Target
	history   *History
	rnd       *rand.Rand
	conn      *pgx.Conn
	address   string
	opTimeout time.Duration
}

// NewCaller returns a caller without a connection. Its random source is
// derived from seed and id; opTimeout limits one operation.
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

// SwitchInstance closes the network connection without the protocol's
// termination message, so that the next operation runs on another instance if
// the target has several.
func (c *Caller) SwitchInstance() {
	if c.conn != nil {
		_ = c.conn.PgConn().Conn().Close()
		c.conn = nil
	}
}

// EnsureConnected connects if there is no open connection. It retries until ctx
// ends.
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

// run times one operation and adds it to the history with the outcome that the
// caller was told. The history also holds failed reads; no rule of package
// examiner checks them.
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

// Address returns the address of the newest connection or attempt.
func (c *Caller) Address() string { return c.address }

// CreateTables creates the tables of [Schema].
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
