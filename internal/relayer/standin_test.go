package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/gatekeeper"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/relayer"
	"marigoldhub.example/hub/internal/tokener"
	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/standin/server"
)

// soleMember is a directory with one member, which has every role and grants itself
// all connections.
type soleMember struct{}

func (soleMember) Self() enroller.Member { return enroller.Member{Instance: "entry-1"} }

func (a soleMember) Members() []enroller.Member                       { return []enroller.Member{a.Self()} }
func (a soleMember) Holder(string) enroller.Member                    { return a.Self() }
func (a soleMember) HolderInZone(_, _ string) (enroller.Member, bool) { return a.Self(), true }
func (soleMember) Changed() <-chan struct{}                           { return nil }

func (soleMember) Grant(_ context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	resp := &wire.GrantResponse{IsMonitor: true, DurationMs: 3000}
	for _, d := range req.Demands {
		resp.Grants = append(resp.Grants, &wire.ServerGrant{Server: d.Server, Connections: 18})
	}
	return resp, nil
}

// cluster is a group of stand-in servers with a proxy in front. Views and
// confirmations are derived from the servers' own statuses.
type cluster struct {
	t       *testing.T
	mu      sync.Mutex
	servers map[string]*server.Server
	views   *fakeViews
	url     string
	relayer *relayer.Relayer
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, servers: make(map[string]*server.Server)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	group := checker.Group{Name: "g", Database: "db", ServerUser: "hub"}
	follow := ""
	for _, name := range []string{"a", "b", "c"} {
		s, err := server.Start(server.Config{Name: name, Dir: t.TempDir(), InitialPrimary: follow == "", Follow: follow, ConnectionLimit: 20, Log: log})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		if follow == "" {
			follow = s.ReplicationAddr()
		}
		c.servers[name] = s
		group.Servers = append(group.Servers, checker.Server{Name: name, Address: s.Addr(), ConnectionLimit: 20})
	}
	catalog := catalogs{checker.NewCatalog(checker.Manifest{
		Groups:  []checker.Group{group},
		Reads:   []checker.ReadRule{{Group: "g", Tables: []string{"title"}, MaxAge: checker.Duration(time.Minute)}},
		Callers: []checker.Caller{{Name: "web", Groups: []string{"g"}, ScramVerifier: verifier("secret"), ConnectionLimit: 100, PinnedLimit: 1}},
	})}
	c.views = &fakeViews{changed: make(chan struct{})}
	c.observe()
	pool := pooler.New(pooler.Config{Catalog: catalog, Views: c.views, Directory: soleMember{}, Granter: soleMember{}, Log: log})
	t.Cleanup(func() { _ = pool.Close() })
	c.relayer = relayer.New(relayer.Config{PrimaryWait: 3 * time.Second, ConfirmWait: 3 * time.Second}, relayer.Dependencies{
		Catalogs: catalog, Views: c.views, Acquirer: pool, Confirmer: c, RetryBudget: unlimitedRetries{}, Log: log,
		Classifier: classifier.New(classifier.Config{}), Tokener: tokener.New(tokenKeys{[]byte("key")}, clockwork.NewRealClock()),
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gate := gatekeeper.New(gatekeeper.Config{Instance: "entry-1"}, gatekeeper.Dependencies{Catalogs: catalog, Relayer: c.relayer, Log: log}, l)
	stop := make(chan struct{})
	var probes sync.WaitGroup
	probes.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				c.observe()
			}
		}
	})
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if n := gate.Expire(ctx); n != 0 {
			t.Errorf("%d sessions left", n)
		}
		close(stop)
		probes.Wait()
	})
	c.url = "postgres://web:secret@" + l.Addr().String() + "/db?sslmode=disable"
	return c
}

// statuses returns the status of each server that runs.
func (c *cluster) statuses() map[string]tracker.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make(map[string]tracker.Status)
	for name, s := range c.servers {
		rows[name] = s.Status()
	}
	return rows
}

// leader returns the primary that a majority follows, and the number of
// servers whose log covers p in the leader's term.
func leader(rows map[string]tracker.Status, p tracker.Position) (tracker.Status, int) {
	var lead tracker.Status
	for _, s := range rows {
		if s.Role == tracker.RolePrimary && s.Term > lead.Term {
			lead = s
		}
	}
	stored := 0
	for _, s := range rows {
		if s.Term == lead.Term && s.Log.Term == lead.Term && s.Log.Offset >= p.Offset {
			stored++
		}
	}
	return lead, stored
}

func (c *cluster) observe() {
	now := time.Now()
	rows := c.statuses()
	lead, stored := leader(rows, tracker.Position{})
	c.views.set(func(v *tracker.View) {
		*v = tracker.View{Group: "g"}
		if stored < 2 {
			return
		}
		v.Term, v.Primary, v.Lineage = lead.Term, lead.Server, lead.Lineage
		for name, s := range rows {
			r := tracker.ReplicaView{Server: name, Log: s.Applied, Reachable: true}
			if s.Applied.Covers(lead.Log) {
				r.FreshAt = now
			}
			if name != lead.Server {
				v.Replicas = append(v.Replicas, r)
			}
		}
	})
}

// Confirm implements confirmer.Confirmer over the servers' statuses.
func (c *cluster) Confirm(ctx context.Context, req confirmer.Request) (confirmer.Result, error) {
	target := req.Position
	for {
		lead, stored := leader(c.statuses(), target)
		if target.IsZero() && lead.Term > 0 {
			target = lead.Log
			continue
		}
		switch {
		case lead.Term > target.Term && stored >= 2:
			_, stored = leader(c.statuses(), tracker.Position{Term: lead.Term, Offset: lead.Log.Offset})
			if stored >= 2 {
				return confirmer.Result{Outcome: confirmer.Superseded, Position: lead.Log, Lineage: lead.Lineage}, nil
			}
		case lead.Term == target.Term && stored >= 2:
			return confirmer.Result{Outcome: confirmer.Confirmed, Position: target, Lineage: lead.Lineage}, nil
		}
		select {
		case <-ctx.Done():
			return confirmer.Result{}, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

// replace stops the primary without warning and promotes another server.
func (c *cluster) replace(old string, term int) {
	c.mu.Lock()
	c.servers[old].Close()
	delete(c.servers, old)
	c.mu.Unlock()
	best, rows := "", c.statuses()
	for name := range rows {
		c.command(name, fmt.Sprintf("SELECT * FROM marigold_group_fence(%d, 'test')", term))
	}
	for name, s := range c.statuses() {
		if best == "" || s.Log.Compare(rows[best].Log) > 0 {
			best = name
		}
	}
	c.command(best, fmt.Sprintf("SELECT * FROM marigold_group_promote(%d, 'test')", term))
	for name := range rows {
		if name != best {
			c.command(name, fmt.Sprintf("SELECT * FROM marigold_group_follow(%d, '%s', '%s')", term, best, c.servers[best].ReplicationAddr()))
		}
	}
}

func (c *cluster) command(name, sql string) {
	conn, err := pgx.Connect(bg, "postgres://hub@"+c.servers[name].Addr()+"/db?sslmode=disable&default_query_exec_mode=simple_protocol")
	if err == nil {
		_, err = conn.Exec(bg, sql)
		_ = conn.Close(bg)
	}
	if err != nil {
		c.t.Errorf("%s on %s: %v", sql, name, err)
	}
}

func (c *cluster) connect(change ...func(*pgx.ConnConfig)) *pgx.Conn {
	c.t.Helper()
	cfg, err := pgx.ParseConfig(c.url)
	if err != nil {
		c.t.Fatal(err)
	}
	for _, f := range change {
		f(cfg)
	}
	conn, err := pgx.ConnectConfig(bg, cfg)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// Guards against a driver's default mode failing with a stand-in server, and
// against a read on a replica that misses the session's own write.
func TestStandinDriver(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(mode.String(), func(t *testing.T) { testDriver(t, mode) })
	}
}

func testDriver(t *testing.T, mode pgx.QueryExecMode) {
	c := newCluster(t)
	conn := c.connect(func(cfg *pgx.ConnConfig) { cfg.DefaultQueryExecMode = mode })
	exec(t, conn, "create table title (id bigint primary key, name text)")
	for i := range 200 {
		exec(t, conn, "insert into title (id, name) values ($1, $2)", i, fmt.Sprint("title ", i))
		var name string
		if err := conn.QueryRow(bg, "select name from title where id = $1", i).Scan(&name); err != nil || name != fmt.Sprint("title ", i) {
			t.Fatalf("title %d: %q, %v", i, name, err)
		}
	}
	tx, err := conn.Begin(bg)
	if err != nil {
		t.Fatal(err)
	}
	var n int
	if err := tx.QueryRow(bg, "select count(*) from title").Scan(&n); err != nil || n != 200 {
		t.Errorf("%d titles, %v", n, err)
	}
	if _, err := tx.Exec(bg, "insert into title (id, name) values (1, 'again')"); code(err) != "23505" {
		t.Errorf("duplicate: %v", err)
	}
	if err := tx.Rollback(bg); err != nil {
		t.Error(err)
	}
	b := &pgx.Batch{}
	for i := range 100 {
		b.Queue("insert into title (id, name) values ($1, 'batch')", 1000+i)
	}
	if err := conn.SendBatch(bg, b).Close(); err != nil {
		t.Error(err)
	}
	served := c.servers["b"].Statements() + c.servers["c"].Statements()
	if served == 0 {
		t.Error("no replica served a read")
	}
}

// Guards against commits that wait until replicas have applied their records,
// and against reads on replicas that have stored but not yet applied a write of
// the session.
func TestStandinLateApply(t *testing.T) {
	c := newCluster(t)
	conn := c.connect()
	exec(t, conn, "create table title (id bigint primary key, name text)")
	for _, name := range []string{"b", "c"} {
		c.servers[name].SetApplyDelay(time.Minute)
	}
	served := c.servers["b"].Statements() + c.servers["c"].Statements()
	for i := range 20 {
		ctx, cancel := context.WithTimeout(bg, time.Second)
		_, err := conn.Exec(ctx, "insert into title (id, name) values ($1, 'x')", i)
		cancel()
		if err != nil {
			t.Fatalf("write %d was not acknowledged within a second: %v", i, err)
		}
		var n int
		if err := conn.QueryRow(bg, "select count(*) from title").Scan(&n); err != nil || n != i+1 {
			t.Fatalf("%d titles after %d writes, %v", n, i+1, err)
		}
	}
	if now := c.servers["b"].Statements() + c.servers["c"].Statements(); now != served {
		t.Errorf("replicas that have not applied the writes served %d statements", now-served)
	}
	// An acknowledgement needs the records at one replica; the other one stores them soon.
	last := c.servers["a"].Status().Log
	if b, c := c.servers["b"].Status().Log, c.servers["c"].Status().Log; b != last && c != last {
		t.Errorf("writes up to %v are acknowledged, b stores records up to %v and c up to %v", last, b, c)
	}
	for _, name := range []string{"b", "c"} {
		deadline := time.Now().Add(storeLimit)
		for c.servers[name].Status().Log != last && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		if s := c.servers[name].Status(); s.Log != last {
			t.Errorf("%s stores records up to %v after %v, want %v", name, s.Log, storeLimit, last)
		}
	}
}

// storeLimit limits the time in which a replica that is connected stores a record.
const storeLimit = 5 * time.Second

// Guards against lost acknowledged writes, and against writes that took effect
// but are reported as not run. Under load, answers are lost, and the primary is
// cut off from its replicas and then stopped.
func TestStandinFailover(t *testing.T) {
	c := newCluster(t)
	exec(t, c.connect(), "create table title (id bigint primary key, name text)")
	var next, acked, unknown, notRun atomic.Int64
	var mu sync.Mutex
	outcomes := make(map[int64]string)
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for w := range 8 {
		conn := c.connect()
		writers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				id := next.Add(1)
				err := write(conn, id, w%2 == 0)
				outcome := "done"
				switch code(err) {
				case "<nil>":
					acked.Add(1)
				case "08007":
					outcome = "unknown"
					unknown.Add(1)
				case "40001":
					outcome = "not run"
					notRun.Add(1)
				default:
					t.Errorf("write %d: %v", id, err)
					outcome = "unknown"
				}
				mu.Lock()
				outcomes[id] = outcome
				mu.Unlock()
				if conn.IsClosed() {
					return
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	c.servers["a"].LoseAnswers(3)
	time.Sleep(200 * time.Millisecond)
	before := acked.Load()
	// The replicas lose the connection to the primary, which goes on committing
	// for a while.
	for _, name := range []string{"b", "c"} {
		c.command(name, "SELECT * FROM marigold_group_follow(1, 'a', '127.0.0.1:1')")
	}
	time.Sleep(100 * time.Millisecond)
	c.replace("a", 2)
	time.Sleep(800 * time.Millisecond)
	close(stop)
	writers.Wait()
	if acked.Load() == before {
		t.Error("no write was acknowledged after the change of primary")
	}
	stored := make(map[int64]bool)
	rows, err := c.connect().Query(bg, "select id, name as n from title")
	if err != nil {
		t.Fatal(err)
	}
	var id int64
	var name string
	if _, err := pgx.ForEachRow(rows, []any{&id, &name}, func() error { stored[id] = true; return nil }); err != nil {
		t.Fatal(err)
	}
	for id, outcome := range outcomes {
		if outcome == "done" && !stored[id] || outcome == "not run" && stored[id] {
			t.Errorf("write %d was reported as %s, stored: %v", id, outcome, stored[id])
		}
	}
	t.Logf("%d done, %d unknown, %d not run", acked.Load(), unknown.Load(), notRun.Load())
}

func write(conn *pgx.Conn, id int64, explicit bool) error {
	const insert = "insert into title (id, name) values ($1, 'x')"
	if !explicit {
		_, err := conn.Exec(bg, insert, id)
		return err
	}
	return pgx.BeginFunc(bg, conn, func(tx pgx.Tx) error {
		_, err := tx.Exec(bg, insert, id)
		return err
	})
}
