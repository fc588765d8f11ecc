package deployer_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/deployer"
	"marigoldhub.example/hub/internal/deployer/deployertest"
)

// quotaWindow, quotaExcess and quotaSlack are the defaults of the settings.
const (
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
)

// crowd is members of a team that send statements all the time, each on one connection.
type crowd struct {
	mu  sync.Mutex
	ran []time.Time
	// other are the codes of refusals that are not for the quota, untimely those that do not
	// say when to come back.
	refused, other, untimely int
}

// run sends statements until stop is closed. It waits for the answer to the last one: a
// statement that its caller abandons is counted by the instance alone.
func (c *crowd) run(stop <-chan struct{}, exec func() error) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		err := exec()
		c.mu.Lock()
		switch {
		case err == nil:
			c.ran = append(c.ran, time.Now())
		case codeOf(err) != "53400":
			c.other++
		case !strings.Contains(err.Error(), "retry in "):
			c.untimely++
		default:
			c.refused++
		}
		c.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// between returns how many statements ran between two times.
func (c *crowd) between(from, to time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, t := range c.ran {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// Guards against a quota that holds at each instance instead of over all of them, one that
// takes effect late or with new connections only, and a team that gets less than its rate.
func TestQuotaInstallation(t *testing.T) {
	d := deployertest.Start(t, tlsPlan())
	publish := func(rate, burst float64) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		m := teamManifest(d, newKey)
		m.Teams[0].RatePerSecond, m.Teams[0].Burst = rate, burst
		if _, err := d.Publish(ctx, m); err != nil {
			t.Fatal(err)
		}
	}
	publish(0, 0)
	stop := make(chan struct{})
	c := &crowd{}
	var members sync.WaitGroup
	cancel := sync.OnceFunc(func() { close(stop) })
	defer members.Wait()
	defer cancel()
	for _, e := range d.Entries {
		for range 3 {
			eventually(t, "a member is admitted at "+e.Name, func() bool {
				conn, err := connectTeam(d, e, newKey)
				if err != nil {
					return false
				}
				t.Cleanup(func() { _ = conn.Close(context.Background()) })
				members.Go(func() {
					c.run(stop, func() error {
						ctx, done := context.WithTimeout(context.Background(), 20*time.Second)
						defer done()
						_, err := conn.Exec(ctx, "select 1")
						return err
					})
				})
				return true
			})
		}
	}
	cases := []struct {
		name        string
		rate, burst float64
	}{{"added", 40, 10}, {"lowered", 10, 0}, {"raised", 80, 20}}
	for _, q := range cases {
		publish(q.rate, q.burst)
		inForce(t, d)
		time.Sleep(time.Second)
		from := time.Now()
		time.Sleep(quotaWindow)
		n := c.between(from, from.Add(quotaWindow))
		owed := q.rate * quotaWindow.Seconds()
		if most := (owed+q.burst)*(1+quotaExcess) + quotaSlack; float64(n) > most {
			t.Errorf("%s: %d statements ran in %v, more than %v", q.name, n, quotaWindow, most)
		}
		if float64(n) < 0.8*owed {
			t.Errorf("%s: %d statements ran in %v, the rate allows %v", q.name, n, quotaWindow, owed)
		}
		t.Logf("%s: %d statements ran in %v", q.name, n, quotaWindow)
	}
	cancel()
	members.Wait()
	if c.refused == 0 || c.other > 0 || c.untimely > 0 {
		t.Errorf("%d refusals for the quota, %d without a time, %d other failures", c.refused, c.untimely, c.other)
	}
	admitted, refused := 0.0, 0.0
	for _, e := range d.Entries {
		metrics, err := e.Metrics()
		if err != nil {
			t.Fatal(err)
		}
		admitted += metrics["throttler.admitted.kiosks"]["count"]
		refused += metrics["throttler.refused.kiosks"]["count"]
	}
	if admitted == 0 || int(refused) != c.refused {
		t.Errorf("the metrics count %v admitted and %v refused operations, callers were refused %d times", admitted, refused, c.refused)
	}
}

// inForce waits until all instances have the newest revision of the part.
func inForce(t *testing.T, d *deployer.Deployment) {
	t.Helper()
	eventually(t, "the revision is in force everywhere", func() bool {
		revisions := map[uint64]bool{}
		for _, e := range d.Entries {
			s, err := e.Status()
			if err != nil {
				return false
			}
			for _, p := range s.Parts {
				if p.Part != checker.OwnersPart {
					revisions[p.Revision] = true
				}
			}
		}
		return len(revisions) == 1
	})
}
