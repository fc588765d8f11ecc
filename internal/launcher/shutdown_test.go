package launcher_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"marigoldhub.example/hub/internal/deployer"
	"marigoldhub.example/hub/internal/deployer/deployertest"
)

const (
	stateShutdown    = "57P01"
	stateNotExecuted = "40001"
	// writeConflict is the message of the server stand-in, which runs one write
	// transaction at a time and refuses the others.
	writeConflict = "another transaction is writing"
	// balancerDelay is the balancer_delay in the deployer's settings.
	balancerDelay = time.Second
)

func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

func connectTo(t *testing.T, e *deployer.Entry) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/booking?sslmode=disable",
		deployer.CallerName, deployer.CallerPassword, e.DirectAddress))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// writeOutcomes records what callers were told about the rows they wrote.
type writeOutcomes struct {
	mu           sync.Mutex
	acknowledged []int
	rejected     []int
	faults       []string
}

func (o *writeOutcomes) acknowledge(id int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledged = append(o.acknowledged, id)
}

func (o *writeOutcomes) reject(id int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rejected = append(o.rejected, id)
}

func (o *writeOutcomes) fault(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

// check compares the outcomes with the rows that another instance reads.
func (o *writeOutcomes) check(t *testing.T, e *deployer.Entry) {
	t.Helper()
	c := connectTo(t, e)
	rows, err := c.Query(context.Background(), "select id from shutdown_check")
	if err != nil {
		t.Fatal(err)
	}
	found, err := pgx.CollectRows(rows, pgx.RowTo[int64])
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range o.acknowledged {
		if !slices.Contains(found, int64(id)) {
			t.Errorf("acknowledged row %d is lost", id)
		}
	}
	for _, id := range o.rejected {
		if slices.Contains(found, int64(id)) {
			t.Errorf("row %d was written although its caller was told that it was not", id)
		}
	}
	for _, f := range o.faults {
		t.Error(f)
	}
	t.Logf("%d rows acknowledged, %d refused", len(o.acknowledged), len(o.rejected))
}

// write inserts rows from first on until the session is ended. Each row is a
// statement of its own or a transaction of two statements.
func (o *writeOutcomes) write(c *pgx.Conn, first int, transaction bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for id := first; ; id++ {
		inside, err := writeOnce(ctx, c, id, transaction)
		switch {
		case err == nil:
			o.acknowledge(id)
		case sqlState(err) == stateNotExecuted && strings.Contains(err.Error(), writeConflict):
			o.reject(id)
		case sqlState(err) == stateShutdown && !inside:
			o.reject(id)
			return
		default:
			o.fault("row %d, inside a transaction: %v, got %v", id, inside, err)
			return
		}
	}
}

// writeOnce inserts one row. It also returns whether a transaction was open.
func writeOnce(ctx context.Context, c *pgx.Conn, id int, transaction bool) (bool, error) {
	const insert = "insert into shutdown_check (id) values ($1)"
	if !transaction {
		_, err := c.Exec(ctx, insert, id)
		return false, err
	}
	tx, err := c.Begin(ctx)
	if err != nil {
		return false, err
	}
	if _, err = tx.Exec(ctx, "select 1"); err == nil {
		time.Sleep(5 * time.Millisecond)
		_, err = tx.Exec(ctx, insert, id)
	}
	if err != nil {
		_ = tx.Rollback(ctx)
		return true, err
	}
	return true, tx.Commit(ctx)
}

// startWriters starts the writers and returns once all are connected.
func startWriters(t *testing.T, o *writeOutcomes, e *deployer.Entry) *sync.WaitGroup {
	var wg sync.WaitGroup
	for n := range 6 {
		c := connectTo(t, e)
		wg.Go(func() { o.write(c, (n+1)*1_000_000, n%2 == 1) })
	}
	return &wg
}

func startDeployment(t *testing.T) *deployer.Deployment {
	d := deployertest.Start(t, deployer.Council().WithGroups("booking").WithEntries(3))
	c := connectTo(t, d.Entries[0])
	if _, err := c.Exec(context.Background(), "create table shutdown_check (id int8 primary key)"); err != nil {
		t.Fatal(err)
	}
	if err := c.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	return d
}

// expectSessionEnd expects that an idle session is ended with 57P01.
func expectSessionEnd(t *testing.T, c *pgx.Conn) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if msg, err := c.PgConn().ReceiveMessage(ctx); sqlState(err) != stateShutdown {
		t.Errorf("idle session: got %v, %v; want %s", msg, err, stateShutdown)
	}
}

// Guards against a graceful shutdown that cuts off requests, loses acknowledged
// writes, ends idle sessions without a message or accepts new connections.
func TestShutdownOfProcess(t *testing.T) {
	d := startDeployment(t)
	e := d.Entries[0]
	o := &writeOutcomes{}
	idle, statement, transaction := connectTo(t, e), connectTo(t, e), connectTo(t, e)
	writers := startWriters(t, o, e)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	tx, err := transaction.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "select 1"); err != nil {
		t.Fatal(err)
	}
	slept := make(chan error, 1)
	go func() {
		_, err := statement.Exec(ctx, "select pg_sleep(3)")
		slept <- err
	}()
	time.Sleep(300 * time.Millisecond)
	begin := time.Now()
	e.Signal(syscall.SIGTERM)
	checkNotReady(t, e)
	expectSessionEnd(t, idle)
	if waited := time.Since(begin); waited < balancerDelay {
		t.Errorf("idle session was ended %v after the signal, before the balancer delay", waited)
	}
	if c, err := net.DialTimeout("tcp", e.DirectAddress, time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("new connection after the balancer delay: %v, %v; want a refusal", c, err)
	}
	writers.Wait()
	if err := <-slept; err != nil {
		t.Errorf("running statement: %v", err)
	}
	const last = 9_000_000
	if _, err := tx.Exec(ctx, "insert into shutdown_check (id) values ($1)", last); err != nil {
		t.Errorf("statement of the open transaction: %v", err)
	}
	if err := tx.Commit(ctx); err != nil {
		t.Errorf("commit of the open transaction: %v", err)
	}
	o.acknowledge(last)
	expectSessionEnd(t, transaction)
	if err := e.Wait(15 * time.Second); err != nil {
		t.Errorf("exit: %v", err)
	}
	t.Logf("the instance ended %v after the signal", time.Since(begin).Round(time.Millisecond))
	o.check(t, d.Entries[1])
}

// checkNotReady expects that the health check fails during the balancer delay.
func checkNotReady(t *testing.T, e *deployer.Entry) {
	t.Helper()
	host, _, _ := net.SplitHostPort(e.DirectAddress)
	deadline := time.Now().Add(balancerDelay / 2)
	for {
		resp, err := http.Get("http://" + net.JoinHostPort(host, "8433") + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusServiceUnavailable {
				return
			}
		}
		if time.Now().After(deadline) {
			t.Errorf("still ready %v after the signal (%v)", balancerDelay/2, err)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a second signal that is ignored, or that loses acknowledged
// writes.
func TestSecondSignal(t *testing.T) {
	d := startDeployment(t)
	e := d.Entries[0]
	o := &writeOutcomes{}
	idle := connectTo(t, e)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	tx, err := idle.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "select 1"); err != nil {
		t.Fatal(err)
	}
	writers := startWriters(t, o, e)
	time.Sleep(300 * time.Millisecond)
	e.Signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	begin := time.Now()
	e.Signal(syscall.SIGTERM)
	if err := e.Wait(20 * time.Second); err != nil {
		t.Errorf("exit: %v", err)
	}
	// One second for open transactions, and the time to close the components. The
	// drain limit of the settings is 10 s.
	if took := time.Since(begin); took > 5*time.Second {
		t.Errorf("the instance ended %v after the second signal", took)
	} else {
		t.Logf("the instance ended %v after the second signal", took.Round(time.Millisecond))
	}
	if err := tx.Commit(ctx); sqlState(err) != stateNotExecuted {
		t.Errorf("transaction left open: got %v, want %s", err, stateNotExecuted)
	}
	writers.Wait()
	o.check(t, d.Entries[1])
}
