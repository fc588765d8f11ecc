package throttler

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/allocator"
	"marigoldhub.example/hub/internal/messenger/wire"
)

var testLimits = allocator.Limits{Rate: 10, Lag: 300 * time.Millisecond, Stock: 10, Young: 4, Reserve: 2}

func newLedger(now time.Time) *ledger {
	l := &ledger{instance: "i", group: "1/1", accounts: map[string]*account{}, contributed: now, capacity: func(string, allocator.Limits) float64 { return 1 }}
	l.observe(10, now)
	return l
}

// granted returns a ledger that was granted tokens for a waiting operation at the time.
func granted(tokens uint32, now time.Time) (*ledger, *account) {
	l := newLedger(now)
	a := l.account("t", testLimits, 0)
	l.admit(a, 0, now, now.Add(time.Second))
	l.accept(l.request(false, now), &wire.QuotaResponse{Grants: []*wire.QuotaGrant{{Tokens: tokens, ValidUs: 1e6}}}, now)
	return l, a
}

// Guards against tokens that are used after they have expired: the allocator has given
// them to another instance by then. A suspended machine wakes up with such tokens, and an
// operation that is refused late gives one back.
func TestExpiredTokensAreNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name   string
		use    func(l *ledger, a *account) bool
		isUsed bool
	}{
		{"used in time", func(l *ledger, a *account) bool {
			_, ok := a.take(now.Add(999 * time.Millisecond))
			return ok
		}, true},
		{"used after a suspension", func(l *ledger, a *account) bool {
			_, ok := a.take(now.Add(time.Second))
			return ok
		}, false},
		{"given back in time", func(l *ledger, a *account) bool { return a.end(now.Add(time.Second), now.Add(999*time.Millisecond)) }, true},
		{"given back late", func(l *ledger, a *account) bool { return a.end(now.Add(time.Second), now.Add(time.Second)) }, false},
		{"given back twice", func(l *ledger, a *account) bool {
			a.end(now.Add(time.Second), now)
			return a.end(now.Add(time.Second), now)
		}, false},
	}
	for _, c := range cases {
		l, a := granted(2, now)
		if got := c.use(l, a); got != c.isUsed {
			t.Errorf("%s: the token is used: %t", c.name, got)
		}
	}
}

// Guards against the time of a request that may have arrived being contributed again, and
// against time that is lost though nothing arrived.
func TestTimeIsContributedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name   string
		before func(l *ledger, first request)
		want   time.Duration
	}{
		{"answered", func(l *ledger, r request) { l.accept(r, &wire.QuotaResponse{}, at(110)) }, 200 * time.Millisecond},
		{"not answered", func(*ledger, request) {}, 200 * time.Millisecond},
		{"not sent", func(l *ledger, r request) { l.takeBack(r) }, 300 * time.Millisecond},
		{"not sent, but used without an allocator meanwhile", func(l *ledger, r request) {
			l.accrue(at(150))
			l.takeBack(r)
		}, 150 * time.Millisecond},
		{"answered, and then a probe", func(l *ledger, r request) {
			l.accept(r, &wire.QuotaResponse{}, at(110))
			l.request(true, at(200))
		}, 200 * time.Millisecond},
		{"used without an allocator", func(l *ledger, r request) { l.goAlone(at(250)) }, 50 * time.Millisecond},
	}
	for _, c := range cases {
		l := newLedger(now)
		c.before(l, l.request(false, at(100)))
		if got := time.Duration(l.request(false, at(300)).GetElapsedUs()) * time.Microsecond; got != c.want {
			t.Errorf("%s: the next request contributes %v, not %v", c.name, got, c.want)
		}
	}
}

// Guards against a team that is known to be out of tokens being asked for at each
// operation, operations that wait longer than they may, later operations that overtake
// earlier ones, and refused callers that are all told the same time.
func TestOperationsOfAnEmptyTeam(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger(now)
	a := l.account("t", testLimits, 0)
	_, patient := l.admit(a, 0, now, now.Add(100*time.Millisecond))
	_, hasty := l.admit(a, 0, now, now.Add(20*time.Millisecond))
	l.accept(l.request(false, now), &wire.QuotaResponse{Grants: []*wire.QuotaGrant{{RetryUs: 50000}}}, now)
	refused := <-hasty.outcome
	if refused.refusal == nil || refused.refusal.After < 50*time.Millisecond {
		t.Errorf("an operation that cannot wait for 50 ms is told %v", refused.refusal)
	}
	o, w := l.admit(a, 0, now, now.Add(100*time.Millisecond))
	if w != nil || o.refusal == nil || o.refusal.After <= refused.refusal.After {
		t.Errorf("another operation is told %v after %v", o.refusal, refused.refusal)
	}
	if due := l.next(now); !due.Equal(now.Add(50 * time.Millisecond)) {
		t.Errorf("the next request is due at %v", due)
	}
	later := now.Add(50 * time.Millisecond)
	_, second := l.admit(a, 0, later, later.Add(100*time.Millisecond))
	l.accept(l.request(false, later), &wire.QuotaResponse{Grants: []*wire.QuotaGrant{{Tokens: 1, ValidUs: 1e6, RetryUs: 50000}}}, later)
	if o := <-patient.outcome; o.refusal != nil {
		t.Errorf("the first operation is told %v", o.refusal)
	}
	select {
	case o := <-second.outcome:
		t.Errorf("the second operation has ended: %v", o.refusal)
	default:
	}
}

// Guards against refusals below the quota of a team with an operation every few seconds, while
// the allocator has an older configuration: it forgets a quota that it is not told for 2.5 s.
func TestQuotaOfANewerConfigurationStaysKnown(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second, 20 * time.Second} {
		f := newFleet(1, 8)
		f.play(8*time.Second, nil)
		f.reconfigure(true, team("t", 0.5, 2))
		const n = 12
		for range n {
			f.instances[0].ask("t")
			f.play(pause, nil)
		}
		if got := len(f.ran["t"]); got < n {
			t.Errorf("an operation every %v: %d of %d were admitted", pause, got, n)
		}
	}
}

// Guards against an instance that goes on to tell a quota after its version was taken back, and
// against requests that grow with teams that no operation has needed for long.
func TestQuotasAreToldWhileTheAllocatorLacksThem(t *testing.T) {
	quotas := func(version int64, perSecond float64) *allocator.Quotas {
		return allocator.NewQuotas(map[string]allocator.Quota{"t": {RatePerSecond: perSecond, Burst: 1}}).WithVersion(version)
	}
	cases := []struct {
		name      string
		allocator int64
		adopted   *allocator.Quotas
		idle      time.Duration
		// want is the rate that is told; 0 if none is.
		want float64
	}{
		{"the allocator's version is older", 4, nil, 3 * time.Second, 1},
		{"it is the same", 5, nil, 3 * time.Second, 0},
		{"it is not known", 0, nil, 3 * time.Second, 0},
		{"the version was taken back", 4, quotas(4, 2), 3 * time.Second, 0},
		{"a newer one came", 4, quotas(6, 2), 3 * time.Second, 2},
		{"the team has no quota any more", 4, allocator.NewQuotas(nil).WithVersion(6), 3 * time.Second, 0},
		{"no operation for long", 4, nil, 2 * time.Minute, 0},
	}
	for _, c := range cases {
		now := time.Unix(1000, 0)
		l := &link{t: &Throttler{cfg: Config{Budget: ruleBudget}}, ledger: ledger{accounts: map[string]*account{}, allocatorVersion: c.allocator}}
		quota, _ := quotas(5, 1).Of("t")
		a := l.ledger.account("t", ruleBudget.Limits(quota), 5)
		a.demand.add(now)
		if c.adopted != nil {
			l.adopt(c.adopted)
		}
		got := 0.0
		for _, d := range l.ledger.request(false, now.Add(c.idle)).GetDemands() {
			got += d.GetRatePerSecond()
		}
		if got != c.want {
			t.Errorf("%s: a rate of %v is told, want %v", c.name, got, c.want)
		}
	}
}
