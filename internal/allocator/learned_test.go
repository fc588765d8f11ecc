package allocator

import (
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// versions are the quotas of an allocator under test, in a fleet of two instances.
type versions struct {
	*Allocator
	clock    *clockwork.FakeClock
	quotas   *Quotas
	sequence uint64
}

func newVersions(quotas *Quotas) *versions {
	v := &versions{clock: clockwork.NewFakeClock(), quotas: quotas}
	v.Allocator = newTestAllocator(v.clock, nil)
	v.cfg.Quotas = func() *Quotas { return v.quotas }
	return v
}

// run lets time pass in which both instances contribute all of theirs.
func (v *versions) run(d time.Duration) {
	for range d / (250 * time.Millisecond) {
		v.clock.Advance(250 * time.Millisecond)
		v.ask("a", nil)
		v.ask("b", nil)
	}
}

func (v *versions) ask(instance string, demands []*wire.QuotaDemand) *wire.QuotaResponse {
	v.sequence++
	return acquire(v.Allocator, &wire.QuotaRequest{Instance: instance, Group: "g", Sequence: v.sequence, ElapsedUs: 250_000, Demands: demands})
}

// take asks for tokens of the team t, whose quota the sender has in a version.
func (v *versions) take(version int64, quota Quota, n uint32) (tokens int, isUnknown bool) {
	d := &wire.QuotaDemand{Team: "t", Waiting: n, Version: version, RatePerSecond: quota.RatePerSecond, Burst: quota.Burst}
	g := v.ask("a", []*wire.QuotaDemand{d}).GetGrants()[0]
	return int(g.GetTokens()), g.GetUnknown()
}

// Guards against a quota that binds, or does not, by an older configuration than a member has,
// against one that is taken from an older or senseless one, and against one that stays when it
// is told no more.
func TestQuotasOfNewerConfigurations(t *testing.T) {
	small, large := Quota{RatePerSecond: 10, Burst: 0}, Quota{RatePerSecond: 1000, Burst: 1000}
	none := NewQuotas(nil).WithVersion(5)
	cases := []struct {
		name    string
		quotas  *Quotas
		version int64
		told    Quota
		// after is what happens between the telling request and the one that counts.
		after func(*versions)
		want  Quota
	}{
		{"a newer version adds a quota", none, 6, small, nil, small},
		{"a newer version raises it", quotasOf(small).WithVersion(5), 6, large, nil, large},
		{"a newer version lowers it", quotasOf(large).WithVersion(5), 6, small, nil, small},
		{"the same version", quotasOf(small).WithVersion(5), 5, large, nil, small},
		{"an older version", quotasOf(small).WithVersion(5), 4, large, nil, small},
		{"the allocator's configurations have no versions", quotasOf(small), 6, large, nil, small},
		{"no rate", quotasOf(small).WithVersion(5), 6, Quota{}, nil, small},
		{"a rate without end", quotasOf(small).WithVersion(5), 6, Quota{RatePerSecond: math.Inf(1)}, nil, small},
		{"no number", quotasOf(small).WithVersion(5), 6, Quota{RatePerSecond: 10, Burst: math.NaN()}, nil, small},
		{"it is told no more", quotasOf(small).WithVersion(5), 6, large, func(v *versions) { v.run(memberTTL + time.Second) }, small},
		{"the allocator has the version", quotasOf(small).WithVersion(5), 6, large, func(v *versions) { v.quotas = quotasOf(small).WithVersion(6) }, small},
		{"another member has a newer one", none, 6, large, func(v *versions) { v.take(7, small, 0) }, small},
		{"another member has an older one", none, 7, small, func(v *versions) { v.take(6, large, 0) }, small},
	}
	for _, c := range cases {
		v := newVersions(c.quotas)
		v.run(10 * time.Second)
		v.take(c.version, c.told, 0)
		if c.after != nil {
			c.after(v)
		}
		v.ask("a", nil)
		if got, want := v.limits["t"], budget.Limits(c.want); got != want {
			t.Errorf("%s: the limits are %+v, want %+v", c.name, got, want)
		}
	}
}

// Guards against a stock that a quota has a second time in the same window: at an allocator
// that took over lately, and after its configuration left it out for a while.
func TestStockOfANewQuota(t *testing.T) {
	quota := Quota{RatePerSecond: 10, Burst: 1000}
	full := int(budget.Limits(quota).Stock)
	cases := []struct {
		name   string
		before func(*versions)
		least  int
		most   int
	}{
		{"at an allocator that has had the refill for long", func(v *versions) { v.run(10 * time.Second) }, full, full},
		{"at one that has had it for a short time", func(v *versions) { v.run(budget.Window) }, 0, 10},
		{"at one that has started", func(*versions) {}, 0, 10},
		{"after it was told and used, and was told no more for some seconds", func(v *versions) {
			v.run(10 * time.Second)
			v.take(6, quota, 1<<16)
			v.run(memberTTL + time.Second)
		}, 0, 10},
		{"after it was used longer ago than a window", func(v *versions) {
			v.run(10 * time.Second)
			v.take(6, quota, 1<<16)
			v.run(memberTTL + budget.Window + 2*time.Second)
		}, full, full},
	}
	for _, c := range cases {
		v := newVersions(NewQuotas(nil).WithVersion(5))
		c.before(v)
		v.take(6, quota, 0)
		got, isUnknown := v.take(6, quota, 1<<16)
		if got < c.least || got > c.most || isUnknown {
			t.Errorf("%s: %d tokens, unknown %t, want %d to %d", c.name, got, isUnknown, c.least, c.most)
		}
	}
}
