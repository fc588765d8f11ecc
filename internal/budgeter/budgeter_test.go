package budgeter_test

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/budgeter"
)

const floor = 10

type fixture struct {
	*budgeter.Budget
	clock   *clockwork.FakeClock
	metrics metrics.Registry
	evicted chan string
}

func newFixture(bytes int64) *fixture {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fixture{clock: clockwork.NewFakeClock(), metrics: metrics.NewRegistry(), evicted: make(chan string, 10)}
	f.Budget = budgeter.New(budgeter.Config{
		Bytes: bytes, Floor: floor, Clock: f.clock, Metrics: f.metrics, Refusals: budgeter.NewRefusals(f.metrics, log),
	})
	return f
}

// account returns an account whose eviction is announced under the name.
func (f *fixture) account(name string) *budgeter.Account {
	return f.NewAccount(func() { f.evicted <- name })
}

func (f *fixture) count(reason budgeter.Reason) int64 {
	return metrics.GetOrRegisterCounter("limits."+reason.String(), f.metrics).Count()
}

// reserve reserves in the background; the result is sent to the channel.
func reserve(a *budgeter.Account, bytes int64) chan error {
	done := make(chan error, 1)
	go func() { done <- a.Reserve(bytes) }()
	return done
}

func mustReserve(t *testing.T, a *budgeter.Account, bytes int64) {
	t.Helper()
	if err := a.Reserve(bytes); err != nil {
		t.Fatalf("reserve %d: %v", bytes, err)
	}
}

// advanceUntil advances the clock until the channel has a value.
func advanceUntil[T any](t *testing.T, f *fixture, c chan T) T {
	t.Helper()
	for range 1000 {
		select {
		case v := <-c:
			return v
		case <-time.After(time.Millisecond):
			f.clock.Advance(10 * time.Millisecond)
		}
	}
	t.Fatal("nothing happened within 10 s of the clock")
	panic("unreachable")
}

// Guards against ordinary messages that wait because others hold the whole budget.
func TestFloorNeedsNoBudget(t *testing.T) {
	f := newFixture(100)
	mustReserve(t, f.account("large"), 100+floor)
	small := f.account("small")
	mustReserve(t, small, floor)
	if err := small.Charge(floor); err != nil {
		t.Error(err)
	}
}

// Guards against a reader that goes on without memory, or never goes on.
func TestWaitsUntilMemoryIsReturned(t *testing.T) {
	f := newFixture(100)
	holder, waiting := f.account("holder"), f.account("waiting")
	mustReserve(t, holder, 90+floor)
	holder.SetRunning(true)
	done := reserve(waiting, 50+floor)
	select {
	case err := <-done:
		t.Fatalf("did not wait: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	mustReserve(t, holder, 0)
	if err := advanceUntil(t, f, done); err != nil {
		t.Error(err)
	}
}

// Guards against a holder that keeps others waiting for ever, and against the eviction of
// one whose request is being processed, which would lose an answer.
func TestEvictsTheLargestAndSlowest(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(large, slow, running *budgeter.Account, f *fixture)
		want    string
	}{
		{"largest", func(large, slow, running *budgeter.Account, f *fixture) {
			large.Reserve(40 + floor)
			slow.Reserve(20 + floor)
			f.clock.Advance(time.Second)
		}, "large"},
		{"slowest", func(large, slow, running *budgeter.Account, f *fixture) {
			slow.Reserve(20 + floor)
			f.clock.Advance(10 * time.Second)
			large.Reserve(40 + floor)
			f.clock.Advance(time.Second)
		}, "slow"},
		{"progress counts", func(large, slow, running *budgeter.Account, f *fixture) {
			large.Reserve(40 + floor)
			slow.Reserve(20 + floor)
			f.clock.Advance(10 * time.Second)
			large.Progress(1)
		}, "slow"},
		{"not the running one", func(large, slow, running *budgeter.Account, f *fixture) {
			running.Reserve(60 + floor)
			running.SetRunning(true)
			f.clock.Advance(10 * time.Second)
			slow.Reserve(20 + floor)
			f.clock.Advance(time.Second)
		}, "slow"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(100)
			tc.prepare(f.account("large"), f.account("slow"), f.account("running"), f)
			reserve(f.account("next"), 45+floor)
			if got := advanceUntil(t, f, f.evicted); got != tc.want {
				t.Errorf("%s was evicted, want %s", got, tc.want)
			}
			if n := f.count(budgeter.Evicted); n != 1 {
				t.Errorf("%d evictions are counted", n)
			}
		})
	}
}

// Guards against a peer that sends a large message at the least rate and keeps its memory from
// others for as long as that takes.
func TestTrickleIsNoProgress(t *testing.T) {
	f := newFixture(100_000)
	trickle, steady := f.account("trickle"), f.account("steady")
	mustReserve(t, trickle, 60_000+floor)
	mustReserve(t, steady, 30_000+floor)
	next := reserve(f.account("next"), 50_000+floor)
	evicted := ""
	for range 1000 {
		select {
		case evicted = <-f.evicted:
		case <-time.After(time.Millisecond):
			f.clock.Advance(20 * time.Millisecond)
			trickle.Progress(1)
			steady.Progress(1000)
			continue
		}
		break
	}
	if evicted != "trickle" {
		t.Errorf("%q was evicted, want the trickle", evicted)
	}
	trickle.Close()
	if err := advanceUntil(t, f, next); err != nil {
		t.Errorf("the next one got no memory: %v", err)
	}
}

// Guards against a wait that outlasts the callers' patience.
func TestWaitEnds(t *testing.T) {
	f := newFixture(100)
	holder := f.account("holder")
	mustReserve(t, holder, 90+floor)
	holder.SetRunning(true)
	if err := advanceUntil(t, f, reserve(f.account("next"), 50+floor)); !errors.Is(err, budgeter.ErrExhausted) {
		t.Errorf("got %v", err)
	}
	if n := f.count(budgeter.NoMemory); n != 1 {
		t.Errorf("%d refusals are counted", n)
	}
}

// Guards against readers that wait for each other: each holds a part of the budget and needs
// more of it.
func TestWaitersDoNotBlockEachOther(t *testing.T) {
	f := newFixture(100)
	first, second := f.account("first"), f.account("second")
	mustReserve(t, first, 50+floor)
	mustReserve(t, second, 50+floor)
	done := reserve(first, 90+floor)
	second2 := make(chan error, 1)
	go func() {
		err := second.Reserve(90 + floor)
		second.Close()
		second2 <- err
	}()
	if err := advanceUntil(t, f, done); err != nil && !errors.Is(err, budgeter.ErrEvicted) {
		t.Errorf("first: %v", err)
	}
	first.Close()
	advanceUntil(t, f, second2)
}

// Guards against answers that are not read and exceed the budget together.
func TestChargeEvicts(t *testing.T) {
	f := newFixture(100)
	stalled, next := f.account("stalled"), f.account("next")
	if err := stalled.Charge(80 + floor); err != nil {
		t.Fatal(err)
	}
	f.clock.Advance(time.Second)
	if err := next.Charge(60 + floor); err != nil {
		t.Errorf("the newer answer is refused: %v", err)
	}
	if got := <-f.evicted; got != "stalled" {
		t.Errorf("%s was evicted", got)
	}
	stalled.Close()
	mustReserve(t, f.account("third"), 40+floor)
}

// Guards against session state that exceeds the budget, and that is not returned.
func TestKeep(t *testing.T) {
	f := newFixture(100)
	a, b := f.account("a"), f.account("b")
	if err := a.Keep(90 + floor); err != nil {
		t.Fatal(err)
	}
	if err := b.Keep(20 + floor); !errors.Is(err, budgeter.ErrExhausted) {
		t.Errorf("got %v, although the budget is used up", err)
	}
	if err := a.Keep(-50); err != nil {
		t.Error(err)
	}
	if err := b.Keep(20 + floor); err != nil {
		t.Errorf("got %v after memory was returned", err)
	}
	a.Close()
	b.Close()
	mustReserve(t, f.account("c"), 100+floor)
}

// Guards against an account that nobody can close and that is evicted: its memory would count
// as being freed for ever, and nobody else would be evicted for it.
func TestAccountsThatCannotBeClosedStay(t *testing.T) {
	f := newFixture(100)
	server := f.NewAccount(nil)
	caller := f.account("caller")
	if err := server.Reserve(60 + floor); err != nil {
		t.Fatal(err)
	}
	if err := caller.Reserve(30 + floor); err != nil {
		t.Fatal(err)
	}
	f.clock.Advance(10 * time.Second)
	if err := server.Charge(95 + floor); err != nil {
		t.Errorf("the account that cannot be closed: %v", err)
	}
	if got := advanceUntil(t, f, f.evicted); got != "caller" {
		t.Errorf("%q was evicted", got)
	}
	if err := server.Reserve(0); err != nil {
		t.Errorf("its memory is not returned: %v", err)
	}
}
