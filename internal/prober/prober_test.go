package prober

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/standin/server"
)

func startServer(t testing.TB, limit int) (*server.Server, *Dialer) {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s, err := server.Start(server.Config{
		Name: "s1", Dir: t.TempDir(), InitialPrimary: true, Password: "secret", ConnectionLimit: limit, Log: log,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, &Dialer{Address: s.Addr(), User: "app", Password: "secret", Database: "d"}
}

func startProber(t testing.TB, connect ConnectFunc) (*Prober, *tracker.Tracker) {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	tr := tracker.New(tracker.Group{Name: "g", Servers: []tracker.Server{{Name: "s1"}}})
	p := New(Config{Server: "s1", Connect: connect, Tracker: tr, Clock: clockwork.NewRealClock(), Log: log})
	t.Cleanup(p.Close)
	return p, tr
}

// awaitObservation returns how long it took until match held.
func awaitObservation(t *testing.T, tr *tracker.Tracker, what string, match func(tracker.Observation) bool) time.Duration {
	t.Helper()
	startedAt := time.Now()
	for time.Since(startedAt) < 3*time.Second {
		if match(tr.State().Server("s1")) {
			return time.Since(startedAt)
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("not within 3 s: %s: %+v", what, tr.State().Server("s1"))
	return 0
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against control queries that differ from what backend servers offer.
func TestCommands(t *testing.T) {
	_, dialer := startServer(t, 0)
	ctx := testContext(t)
	c, err := dialer.Dial(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s, err := c.ReadStatus(ctx)
	if err != nil || s.Server != "s1" || s.Role != tracker.RolePrimary || s.Term != 1 {
		t.Fatalf("status %+v, %v", s, err)
	}
	s, err = c.Fence(ctx, 2, "it's me")
	if err != nil || s.Role != tracker.RoleFenced || s.Term != 2 || s.Promoter != "it's me" {
		t.Fatalf("fence: %+v, %v", s, err)
	}
	s, err = c.Fence(ctx, 2, "another")
	if err != nil || s.Promoter != "it's me" {
		t.Fatalf("second fence: %+v, %v", s, err)
	}
	s, err = c.Promote(ctx, 2, "it's me")
	if err != nil || s.Role != tracker.RolePrimary || s.Log.Term != 2 || s.Lineage[len(s.Lineage)-1].Term != 2 {
		t.Fatalf("promote: %+v, %v", s, err)
	}
	s, err = c.Follow(ctx, 1, "s2", "127.0.0.1:1")
	if err != nil || s.Role != tracker.RolePrimary {
		t.Fatalf("follow in an old term: %+v, %v", s, err)
	}
}

// Guards against a wrong password being accepted.
func TestWrongPassword(t *testing.T) {
	_, dialer := startServer(t, 0)
	dialer.Password = "wrong"
	if _, err := dialer.Dial(testContext(t)); err == nil {
		t.Error("connected with a wrong password")
	}
}

func parseStatus(desc *pgproto3.RowDescription, row *pgproto3.DataRow) (tracker.Status, error) {
	columns, err := NewStatusColumns(desc)
	if err != nil {
		return tracker.Status{}, err
	}
	return columns.Parse(row)
}

// Guards against treating all stored records as applied on a replica that
// applies late, and against treating none as applied on a server that does not
// report the column.
func TestParseApplied(t *testing.T) {
	cases := []struct {
		name   string
		column string
		value  string
		want   tracker.Position
		ok     bool
	}{
		{"all", "applied_offset", "58", tracker.Position{Term: 3, Offset: 58}, true},
		{"part of an earlier term", "applied_offset", "57", tracker.Position{Term: 1, Offset: 57}, true},
		{"nothing", "applied_offset", "0", tracker.Position{}, true},
		{"without column", "other", "x", tracker.Position{Term: 3, Offset: 58}, true},
		{"past the log", "applied_offset", "59", tracker.Position{}, false},
		{"malformed", "applied_offset", "", tracker.Position{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			desc, row := &pgproto3.RowDescription{}, &pgproto3.DataRow{}
			for _, f := range [][2]string{
				{"server", "s1"},
				{"role", "replica"},
				{"term", "3"},
				{"promoter", ""},
				{"log_term", "3"},
				{"log_offset", "58"},
				{"lineage", "1:0,3:57"},
				{"leaving", "f"},
				{"connections", "7"},
				{c.column, c.value},
			} {
				desc.Fields = append(desc.Fields, pgproto3.FieldDescription{Name: []byte(f[0])})
				row.Values = append(row.Values, []byte(f[1]))
			}
			s, err := parseStatus(desc, row)
			if (err == nil) != c.ok || c.ok && s.Applied != c.want {
				t.Errorf("applied %v, %v", s.Applied, err)
			}
		})
	}
}

// Guards against accepting a status row with a missing or malformed value.
func TestParseStatus(t *testing.T) {
	names := []string{"server", "role", "term", "promoter", "log_term", "log_offset", "lineage", "leaving", "connections"}
	good := []string{"s1", "primary", "3", "i1/1", "3", "58", "1:0,3:57", "t", "7"}
	cases := []struct {
		name   string
		column int
		value  string
		ok     bool
	}{
		{"complete", 0, "s1", true},
		{"unknown role", 1, "standby", false},
		{"negative term", 2, "-1", false},
		{"no offset", 5, "", false},
		{"malformed lineage", 6, "1:0,x", false},
		{"descending lineage", 6, "3:0,1:5", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			desc, row := &pgproto3.RowDescription{}, &pgproto3.DataRow{}
			for i, name := range names {
				desc.Fields = append(desc.Fields, pgproto3.FieldDescription{Name: []byte(name)})
				row.Values = append(row.Values, []byte(good[i]))
			}
			row.Values[c.column] = []byte(c.value)
			s, err := parseStatus(desc, row)
			if (err == nil) != c.ok {
				t.Fatalf("error %v", err)
			}
			if c.ok && (s.Log != tracker.Position{Term: 3, Offset: 58} || !s.Leaving || s.Connections != 7) {
				t.Errorf("status %+v", s)
			}
			if _, err := parseStatus(&pgproto3.RowDescription{Fields: desc.Fields[1:]}, &pgproto3.DataRow{Values: row.Values[1:]}); err == nil {
				t.Error("row without server name was accepted")
			}
		})
	}
}

// Guards against a probe loop that blocks on a frozen server or does not resume
// when the server does.
func TestFrozenServer(t *testing.T) {
	s, dialer := startServer(t, 0)
	_, tr := startProber(t, dialer.Connect)
	awaitObservation(t, tr, "reachable", tracker.Observation.Reachable)
	s.SetFrozen(true)
	d := awaitObservation(t, tr, "two failures", func(o tracker.Observation) bool { return o.Failures >= 2 })
	t.Logf("two failed probes in %v", d)
	if d > time.Second {
		t.Errorf("two failures took %v", d)
	}
	if tr.State().Server("s1").Refused {
		t.Error("frozen server is reported as refusing connections")
	}
	s.SetFrozen(false)
	t.Logf("reachable again in %v", awaitObservation(t, tr, "reachable", tracker.Observation.Reachable))
}

// Guards against detecting a stopped server by timeouts only, both directly and
// behind a network relay that accepts connections and closes them.
func TestRefusal(t *testing.T) {
	s, dialer := startServer(t, 0)
	_, tr := startProber(t, dialer.Connect)
	awaitObservation(t, tr, "reachable", tracker.Observation.Reachable)
	s.Close()
	d := awaitObservation(t, tr, "refused", func(o tracker.Observation) bool { return o.Refused })
	t.Logf("refusal noticed in %v", d)
	if d > 300*time.Millisecond {
		t.Errorf("refusal noticed in %v", d)
	}

	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	go func() {
		for conn, err := lis.Accept(); err == nil; conn, err = lis.Accept() {
			conn.Close()
		}
	}()
	relay := &Dialer{Address: lis.Addr().String(), User: "app"}
	_, tr = startProber(t, relay.Connect)
	awaitObservation(t, tr, "refused behind a relay", func(o tracker.Observation) bool { return o.Refused })
}

// Guards against a connection that neither answers nor is reset, as when the
// network drops its packets.
func TestCut(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	silent := &Dialer{Address: lis.Addr().String(), User: "app"}
	_, tr := startProber(t, silent.Connect)
	d := awaitObservation(t, tr, "two failures", func(o tracker.Observation) bool { return o.Failures >= 2 && !o.Refused })
	t.Logf("two failed probes in %v", d)
	if d > time.Second {
		t.Errorf("two failures took %v", d)
	}
}

// Guards against treating a server without free connections as failed.
func TestFullServer(t *testing.T) {
	_, dialer := startServer(t, 1)
	ctx := testContext(t)
	c, err := dialer.Dial(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = dialer.Dial(ctx)
	var refused *ServerError
	if !errors.As(err, &refused) || refused.Code != CodeTooManyConnections {
		t.Fatalf("second connection: %v", err)
	}
	_, tr := startProber(t, dialer.Connect)
	time.Sleep(200 * time.Millisecond)
	if o := tr.State().Server("s1"); o.Failures > 0 || o.Refused {
		t.Errorf("full server: %+v", o)
	}
}

// Guards against a waiter that has to wait for the next regular probe.
func TestWaiterStartsProbe(t *testing.T) {
	_, dialer := startServer(t, 0)
	_, tr := startProber(t, dialer.Connect)
	awaitObservation(t, tr, "reachable", tracker.Observation.Reachable)
	var slowest time.Duration
	for range 50 {
		startedAt := time.Now()
		if _, err := tr.Await(testContext(t), tracker.Position{}, true, startedAt); err != nil {
			t.Fatal(err)
		}
		slowest = max(slowest, time.Since(startedAt))
	}
	t.Logf("slowest of 50 fresh confirmations: %v", slowest)
	if slowest > 50*time.Millisecond {
		t.Errorf("slowest fresh confirmation took %v", slowest)
	}
}

// BenchmarkProbe measures the cost of one probe with the tracker's update.
func BenchmarkProbe(b *testing.B) {
	_, dialer := startServer(b, 0)
	c, err := dialer.Dial(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	tr := tracker.New(tracker.Group{Name: "g", Servers: []tracker.Server{{Name: "s1"}}})
	b.ReportAllocs()
	for b.Loop() {
		sentAt := time.Now()
		s, err := c.ReadStatus(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		tr.Observe("s1", s, sentAt, time.Now())
	}
}
