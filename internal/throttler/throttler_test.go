package throttler

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/allocator"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/placer"
)

// fixedQuotas are quotas that do not change.
type fixedQuotas struct{ quotas *allocator.Quotas }

func (q fixedQuotas) Quotas() *allocator.Quotas { return q.quotas }
func (fixedQuotas) Changed() <-chan struct{}    { return nil }

// quotasOf returns the quotas of the team t.
func quotasOf(rate, burst float64) *allocator.Quotas {
	return allocator.NewQuotas(map[string]allocator.Quota{"t": {RatePerSecond: rate, Burst: burst}})
}

// client counts requests and passes them to the allocator; without one it is silent.
type client struct {
	allocator *allocator.Allocator

	mu       sync.Mutex
	requests int
}

func (c *client) Acquire(ctx context.Context, _ placer.Peer, in *wire.QuotaRequest) (*wire.QuotaResponse, error) {
	c.mu.Lock()
	c.requests++
	c.mu.Unlock()
	if c.allocator == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return c.allocator.Acquire(ctx, in)
}

func (c *client) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests
}

// newThrottler returns the throttler of an instance that is alone in its fleet.
func newThrottler(t *testing.T, quotas *allocator.Quotas, hasAllocator bool, changes ...func(*Config)) (*Throttler, *client) {
	log := logrus.New()
	log.SetOutput(t.Output())
	clock := clockwork.NewRealClock()
	s := fixedQuotas{quotas}
	cl := &client{}
	if hasAllocator {
		cl.allocator = allocator.New(allocator.Config{
			Quotas: s.Quotas, Budget: ruleBudget, Instances: func() int { return 1 }, Clock: clock, Metrics: metrics.NewRegistry(), Log: log,
		})
	}
	cfg := Config{
		Instance: "i", Quotas: s, Budget: ruleBudget,
		Instances: func() []placer.Peer { return []placer.Peer{{Name: "i"}} }, InstancesKnown: func() bool { return true },
		InstancesChanged: func() <-chan struct{} { return nil },
		Client:           cl, Clock: clock, Metrics: metrics.NewRegistry(), Log: log,
	}
	for _, change := range changes {
		change(&cfg)
	}
	th := New(cfg)
	t.Cleanup(th.Close)
	return th, cl
}

// Guards against an instance that started while the store is away and takes itself for the
// whole fleet: it would run a team's full rate, and so would each other one.
func TestNothingIsAdmittedBeforeTheListOfInstances(t *testing.T) {
	th, _ := newThrottler(t, quotasOf(200, 200), true, func(cfg *Config) {
		cfg.InstancesKnown = func() bool { return false }
	})
	for began := time.Now(); time.Since(began) < 500*time.Millisecond; time.Sleep(10 * time.Millisecond) {
		if _, err := th.Admit("t", time.Now().Add(40*time.Millisecond)); err == nil {
			t.Fatal("an operation was admitted")
		}
	}
}

// Guards against an instance that looks for the list of instances without a pause while
// operations wait, and so takes the processor from the part that reads the list.
func TestPausesBeforeTheListOfInstances(t *testing.T) {
	var looks atomic.Int64
	th, _ := newThrottler(t, quotasOf(200, 200), true, func(cfg *Config) {
		cfg.InstancesKnown = func() bool {
			looks.Add(1)
			return false
		}
	})
	began := time.Now()
	for time.Since(began) < 300*time.Millisecond {
		_, _ = th.Admit("t", time.Now().Add(400*time.Millisecond))
	}
	// Each look asks a few times.
	if n, most := looks.Load(), 10*int64(time.Since(began)/listPause+1); n > most {
		t.Errorf("the list was looked for %d times in %v, more than %d", n, time.Since(began), most)
	}
}

// Guards against messages and refusals where the configuration calls for no quota.
func TestOperationsWithoutQuotaCostNothing(t *testing.T) {
	cases := []struct {
		name string
		c    *allocator.Quotas
		team string
	}{
		{"no configuration", nil, "t"},
		{"no teams", &allocator.Quotas{}, "t"},
		{"no team", quotasOf(1, 0), ""},
		{"unlimited team", quotasOf(0, 0), "t"},
	}
	for _, c := range cases {
		th, cl := newThrottler(t, c.c, false)
		for range 1000 {
			o, err := th.Admit(c.team, time.Now())
			if err != nil {
				t.Fatalf("%s: %v", c.name, err)
			}
			o.Refund()
			o.Done()
		}
		if n := cl.count(); n > 0 && c.team != "" {
			t.Errorf("%s: %d requests were sent", c.name, n)
		}
	}
}

// Guards against operations that hang when the allocator is silent, and against refusals
// without a time to come back.
func TestSilentAllocator(t *testing.T) {
	th, _ := newThrottler(t, quotasOf(1, 0), false)
	for range 5 {
		_, err := th.Admit("t", time.Now().Add(time.Second))
		var r *Refusal
		if !errors.As(err, &r) || r.After <= 0 {
			t.Fatalf("the operation is told %v", err)
		}
		if !strings.Contains(err.Error(), "quota") || !strings.Contains(err.Error(), "retry in") {
			t.Errorf("the text is %q", err)
		}
	}
}

// Guards against an instance that serves nobody until each candidate was silent for two
// requests, 0.6 s, although it has a part of the quota of its own.
func TestOwnPartIsServedSoon(t *testing.T) {
	peers := []placer.Peer{{Name: "i"}, {Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
	th, cl := newThrottler(t, quotasOf(1000, 1000), false, func(cfg *Config) {
		cfg.Instances = func() []placer.Peer { return peers }
	})
	var requests int
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		o, err := th.Admit("t", time.Now().Add(400*time.Millisecond))
		if requests = cl.count(); err == nil {
			o.Done()
			break
		}
		if time.Since(began) > 10*time.Second {
			t.Fatal("no operation was admitted")
		}
	}
	// The last one is sent when the own part is in use already.
	if most := int(maxSilence/requestTimeout) + 2; requests > most {
		t.Errorf("the first operation was admitted after %d requests without an answer, more than %d", requests, most)
	}
}

// Guards against tokens that get lost between sessions at the same time, and against a
// throttler that does not stop.
func TestSessionsAtTheSameTime(t *testing.T) {
	th, _ := newThrottler(t, quotasOf(1000, 1000), true)
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	admitted := 0
	for i := range 16 {
		wg.Go(func() {
			for time.Since(began) < 300*time.Millisecond {
				o, err := th.Admit("t", time.Now().Add(200*time.Millisecond))
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				if i%4 == 0 {
					o.Refund()
					o.Refund()
					continue
				}
				o.Done()
				mu.Lock()
				admitted++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	took := time.Since(began)
	// All time since the start is contributed at most once, by the only instance.
	if most := 1000*took.Seconds() + 1; float64(admitted) > most {
		t.Errorf("%d operations were admitted in %v", admitted, took)
	}
	if admitted == 0 {
		t.Error("no operation was admitted")
	}
	th.Close()
	if _, err := th.Admit("t", time.Now().Add(200*time.Millisecond)); err == nil {
		t.Error("an operation was admitted after the end")
	}
}

// Guards against an operation that begins after its token counts as used: by then others have
// been admitted in its place.
func TestOperationsExpire(t *testing.T) {
	for _, hasAllocator := range []bool{true, false} {
		th, _ := newThrottler(t, quotasOf(1000, 1000), hasAllocator)
		var o Operation
		for began := time.Now(); ; time.Sleep(time.Millisecond) {
			var err error
			if o, err = th.Admit("t", time.Now().Add(400*time.Millisecond)); err == nil {
				break
			}
			if time.Since(began) > 10*time.Second {
				t.Fatal(err)
			}
		}
		if o.IsExpired() {
			t.Errorf("allocator %t: the operation has expired at once", hasAllocator)
		}
		time.Sleep(allocator.TokenTTL + 10*time.Millisecond)
		if !o.IsExpired() {
			t.Errorf("allocator %t: the operation has not expired after %v", hasAllocator, allocator.TokenTTL)
		}
		o.Refund()
	}
	if (Operation{}).IsExpired() {
		t.Error("an operation without a quota has expired")
	}
}
