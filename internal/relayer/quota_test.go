package relayer_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/charger"
	"marigoldhub.example/hub/internal/throttler"
	"marigoldhub.example/hub/internal/tracker"
)

// fakeQuotas admits as many operations as a test allows.
type fakeQuotas struct {
	mu                    sync.Mutex
	left                  int
	asked, ran, givenBack int
	// valid is how long a token may be used; 0 means without end.
	valid time.Duration
	// last is the operation that was admitted last.
	last *fakeOperation
}

func (q *fakeQuotas) Admit(team string, _ time.Time) (charger.Operation, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.asked++
	if team != "t" || q.left == 0 {
		return nil, &throttler.Refusal{Reason: "the team's quota is used up", After: 120 * time.Millisecond}
	}
	q.left--
	q.last = &fakeOperation{q: q, admitted: time.Now()}
	return q.last, nil
}

// isExpired reports whether the token of the last operation is.
func (q *fakeQuotas) isExpired() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.last.IsExpired()
}

func (q *fakeQuotas) set(left int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.left = left
}

// counts returns how many operations were asked for, have run, and were given back.
func (q *fakeQuotas) counts() [3]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return [3]int{q.asked, q.ran, q.givenBack}
}

type fakeOperation struct {
	q        *fakeQuotas
	admitted time.Time
	ended    bool
}

func (o *fakeOperation) IsExpired() bool { return o.q.valid > 0 && time.Since(o.admitted) >= o.q.valid }
func (o *fakeOperation) Done()           { o.end(func() { o.q.ran++ }) }

func (o *fakeOperation) Refund() {
	o.end(func() {
		o.q.givenBack++
		if !o.IsExpired() {
			o.q.left++
		}
	})
}

func (o *fakeOperation) end(record func()) {
	o.q.mu.Lock()
	defer o.q.mu.Unlock()
	if !o.ended {
		o.ended = true
		record()
	}
}

const overQuota = "ERROR 53400 request was not run: quota: the team's quota is used up, retry in 120 ms"

// end ends the session and waits for it.
func (s *rawSession) end() {
	s.fe.Send(&pgproto3.Terminate{})
	_ = s.fe.Flush()
	<-s.done
}

// Guards against operations that count more or less than once, transactions that are cut by
// the quota, statements without an operation that are refused, sessions that cannot be used
// after a refusal, and operations that stay counted though no server ran them.
func TestQuota(t *testing.T) {
	// step is a batch with its answer. Left is the quota before it if it is set.
	type step struct {
		sql, want string
		left      *int
	}
	quota := func(n int) *int { return &n }
	insert := "insert into kv values ('x', '1')"
	cases := []struct {
		name  string
		left  int
		steps []step
		// counts are the operations that were asked for, have run and were given back.
		counts [3]int
		// prepare changes the fixture.
		prepare func(*fixture)
	}{
		{"a batch counts once", 2, []step{{sql: insert, want: "INSERT 0 1; ready I"}, {sql: insert + "; " + insert, want: "INSERT 0 1; INSERT 0 1; ready I"}}, [3]int{2, 2, 0}, nil},
		{"beyond the quota, and again within it", 1, []step{
			{sql: insert, want: "INSERT 0 1; ready I"},
			{sql: insert, want: overQuota + "; ready I"},
			{sql: insert, want: "INSERT 0 1; ready I", left: quota(1)},
		}, [3]int{3, 2, 0}, nil},
		{"a transaction counts once and goes on when the quota is lowered", 1, []step{
			{sql: "begin", want: "BEGIN; ready T"},
			{sql: insert, want: "INSERT 0 1; ready T", left: quota(0)},
			{sql: insert, want: "INSERT 0 1; ready T"},
			{sql: "commit", want: "COMMIT; ready I"},
			{sql: insert, want: overQuota + "; ready I"},
		}, [3]int{2, 1, 0}, nil},
		{"a transaction is not begun beyond the quota", 0, []step{{sql: "begin", want: overQuota + "; ready I"}}, [3]int{1, 0, 0}, nil},
		{"another transaction in the batch that ends one", 1, []step{
			{sql: "begin", want: "BEGIN; ready T"},
			{sql: "rollback; begin", want: overQuota + "; ready E"},
			{sql: "rollback", want: "ROLLBACK; ready I"},
		}, [3]int{2, 1, 0}, nil},
		{"what needs no server", 0, []step{
			{sql: "", want: "ready I"},
			{sql: "set application_name = 'a'", want: "SET; ready I"},
			{sql: "deallocate all", want: "DEALLOCATE ALL; ready I"},
		}, [3]int{0, 0, 0}, nil},
		{"no server connection is free", 1, []step{
			{sql: insert, want: "ERROR 40001 request was not run: no connection to backend server a: unreachable; ready I"},
			{sql: "begin", want: "ERROR 40001 request was not run: no connection to backend server a: unreachable; ready I"},
		}, [3]int{2, 0, 2}, func(fx *fixture) { fx.pool.refuse["a"] = true }},
		{"the server refuses the statement", 1, []step{
			{sql: insert, want: "ERROR 40001 request was not run: cannot execute INSERT in a read-only transaction (25006); ready I"},
		}, [3]int{1, 0, 1}, func(fx *fixture) { fx.a.setRole("replica") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := &fakeQuotas{left: c.left}
			fx := newFixture(t, func(fx *fixture) { fx.quotas, fx.cfg.PrimaryWait = q, 100*time.Millisecond })
			if c.prepare != nil {
				c.prepare(fx)
			}
			s := fx.newRawSession(t)
			for _, step := range c.steps {
				if step.left != nil {
					q.set(*step.left)
				}
				s.send(step.sql)
				if got := s.answers(); got != step.want {
					t.Fatalf("%q is answered %q, want %q", step.sql, got, step.want)
				}
			}
			s.end()
			if got := q.counts(); got != c.counts {
				t.Errorf("asked for, run, given back: %v, want %v", got, c.counts)
			}
		})
	}
}

// Guards against a refusal that ends the session or drops its prepared statements, against
// batches of the extended protocol that count for each message, and against one that counts
// for its preparation.
func TestQuotaOfPreparedStatements(t *testing.T) {
	q := &fakeQuotas{left: 1}
	fx := newFixture(t, func(fx *fixture) { fx.quotas = q })
	s := fx.newRawSession(t)
	send := func(msgs ...pgproto3.FrontendMessage) string {
		for _, m := range msgs {
			s.fe.Send(m)
		}
		_ = s.fe.Flush()
		return s.answers()
	}
	run := []pgproto3.FrontendMessage{&pgproto3.Bind{PreparedStatement: "p"}, &pgproto3.Execute{}, &pgproto3.Sync{}}
	flushed := []pgproto3.FrontendMessage{
		&pgproto3.Flush{}, &pgproto3.Bind{PreparedStatement: "p"}, &pgproto3.Execute{}, &pgproto3.Flush{},
		&pgproto3.Bind{PreparedStatement: "p"}, &pgproto3.Execute{}, &pgproto3.Sync{},
	}
	cases := []struct {
		name string
		left int
		msgs []pgproto3.FrontendMessage
		want string
	}{
		{"prepare", 0, []pgproto3.FrontendMessage{&pgproto3.Parse{Name: "p", Query: "insert into kv values ('x', '1')"}, &pgproto3.Sync{}}, "ready I"},
		{"run", 1, run, "INSERT 0 1; ready I"},
		{"beyond the quota", 0, run, overQuota + "; ready I"},
		{"within it again", 1, run, "INSERT 0 1; ready I"},
		{"with Flush", 1, flushed, "INSERT 0 1; INSERT 0 1; ready I"},
		{"with Flush beyond the quota", 0, flushed, overQuota + "; ready I"},
	}
	for _, c := range cases {
		q.set(c.left)
		if got := send(c.msgs...); got != c.want {
			t.Errorf("%s: answered %q, want %q", c.name, got, c.want)
		}
	}
	s.end()
	if got, want := q.counts(), [3]int{5, 3, 0}; got != want {
		t.Errorf("asked for, run, given back: %v, want %v", got, want)
	}
}

// Guards against callers without a team that are counted.
func TestNoQuotaWithoutTeam(t *testing.T) {
	q := &fakeQuotas{}
	fx := newFixture(t, func(fx *fixture) { fx.quotas = q })
	if _, err := fx.connect().Exec(t.Context(), "insert into kv values ('x', '1')"); err != nil {
		t.Error(err)
	}
	if got := q.counts(); got != [3]int{} {
		t.Errorf("asked for, run, given back: %v", got)
	}
}

// Guards against a lost answer after which the operation is given back: a server may have run
// it.
func TestQuotaOfALostAnswer(t *testing.T) {
	q := &fakeQuotas{left: 1}
	fx := newFixture(t, func(fx *fixture) { fx.quotas = q })
	fx.a.setHook(func(when, sql string) bool { return when != "after" || !strings.HasPrefix(sql, "insert") })
	s := fx.newRawSession(t)
	s.send("insert into kv values ('x', '1')")
	if got := s.answers(); !strings.HasPrefix(got, "ERROR 08007") {
		t.Error(got)
	}
	s.end()
	if got, want := q.counts(), [3]int{1, 1, 0}; got != want {
		t.Errorf("asked for, run, given back: %v, want %v", got, want)
	}
}

// Guards against operations that wait for a primary or a connection for longer than their
// tokens are valid: the quota counts them as not run by then, and gives out as many others that
// reach the server in the same window.
func TestQuotaAfterAWait(t *testing.T) {
	const insert, valid = "insert into kv values ('x', '1')", 100 * time.Millisecond
	noPrimary := func(fx *fixture) (end func()) {
		fx.views.set(func(v *tracker.View) { v.Primary = "" })
		return func() { fx.views.set(func(v *tracker.View) { v.Primary = "a" }) }
	}
	noConnection := func(fx *fixture) (end func()) {
		slots := fx.pool.slots["a"]
		for range cap(slots) {
			slots <- struct{}{}
		}
		return func() {
			for range cap(slots) {
				<-slots
			}
		}
	}
	cases := []struct {
		name   string
		before string
		begin  func(*fixture) func()
		wait   time.Duration
		left   int
		want   string
		counts [3]int
	}{
		{"no primary", "", noPrimary, 3 * valid, 2, "INSERT 0 1; ready I", [3]int{2, 1, 1}},
		{"no primary, and the quota is used up", "", noPrimary, 3 * valid, 1, overQuota + "; ready I", [3]int{2, 0, 1}},
		{"no connection", "", noConnection, 3 * valid, 2, "INSERT 0 1; ready I", [3]int{2, 1, 1}},
		{"no connection, and the quota is used up", "", noConnection, 3 * valid, 1, overQuota + "; ready I", [3]int{2, 0, 1}},
		{"a pinned connection and no primary", "set work_mem = '1MB'", noPrimary, 3 * valid, 3, "INSERT 0 1; ready I", [3]int{3, 2, 1}},
		{"a pinned connection, no primary and the quota is used up", "set work_mem = '1MB'", noPrimary, 3 * valid, 2, overQuota + "; ready I", [3]int{3, 1, 1}},
		{"a primary in time", "", noPrimary, valid / 10, 1, "INSERT 0 1; ready I", [3]int{1, 1, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := &fakeQuotas{left: c.left}
			fx := newFixture(t, func(fx *fixture) { fx.quotas = q })
			late := make(chan struct{}, 10)
			fx.a.setHook(func(when, sql string) bool {
				if when == "before" && strings.HasPrefix(sql, "insert") && q.isExpired() {
					late <- struct{}{}
				}
				return true
			})
			s := fx.newRawSession(t)
			if c.before != "" {
				s.send(c.before)
				if got := s.answers(); got != "SET; ready I" {
					t.Fatalf("%q is answered %q", c.before, got)
				}
			}
			q.valid = valid
			end := c.begin(fx)
			s.send(insert)
			time.Sleep(c.wait)
			end()
			if got := s.answers(); got != c.want {
				t.Errorf("answered %q, want %q", got, c.want)
			}
			s.end()
			if len(late) > 0 {
				t.Error("the statement reached the server after its token had expired")
			}
			if got := q.counts(); got != c.counts {
				t.Errorf("asked for, run, given back: %v, want %v", got, c.counts)
			}
		})
	}
}
