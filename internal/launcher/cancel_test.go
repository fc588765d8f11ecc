package launcher_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/deployer"
)

// Guards against cancel requests that are lost when the balancer sends them to
// an instance that does not serve the session, and against missing metrics that
// operators need.
func TestCancelThroughAnotherInstance(t *testing.T) {
	d := startDeployment(t)
	c := connectTo(t, d.Entries[0])
	ended := make(chan error, 1)
	begin := time.Now()
	go func() {
		_, err := c.Exec(context.Background(), "select pg_sleep(10)")
		ended <- err
	}()
	time.Sleep(300 * time.Millisecond)
	request, err := (&pgproto3.CancelRequest{ProcessID: c.PgConn().PID(), SecretKey: c.PgConn().SecretKey()}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.DialTimeout("tcp", d.Entries[1].DirectAddress, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write(request); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; sqlState(err) != "57014" || time.Since(begin) > 5*time.Second {
		t.Errorf("got %v after %v, want 57014 at once", err, time.Since(begin))
	}
	checkMetrics(t, d.Entries[0])
}

// checkMetrics waits for metrics that the pool reports once a second.
func checkMetrics(t *testing.T, e *deployer.Entry) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		m, err := e.Metrics()
		if err != nil {
			t.Fatal(err)
		}
		missing := missingMetrics(m)
		if len(missing) == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("missing metrics: %v", missing)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func missingMetrics(m map[string]map[string]float64) []string {
	var missing []string
	for name, field := range map[string]string{
		"group.booking.connections": "count", "caller.portal.connections": "count",
		"group.booking.confirmation_us": "median", "group.booking.connection_wait_us": "count",
		"caller.portal.server_connections_taken": "count", "pooler.booking.booking-a.allowed": "value",
		"group.booking.replica.booking-b.age_ms": "value",
	} {
		if m[name][field] <= 0 {
			missing = append(missing, name)
		}
	}
	if _, ok := m["group.booking.replica.booking-a.age_ms"]; ok {
		missing = append(missing, "the primary has an age")
	}
	return missing
}
