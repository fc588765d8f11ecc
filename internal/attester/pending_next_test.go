package attester_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger/exchangertest"
	"marigoldhub.example/hub/internal/informer"
)

// Guards against commits and strict reads that need the next primary of a switchover as long
// as no primary lease is recorded, which takes as long as the store is down, and against a
// primary lease that was granted before the switchover lease and ends its need.
func TestPendingNext(t *testing.T) {
	const ttl = 300 * time.Millisecond
	for _, tc := range []struct {
		name   string
		record func(g *attester.Group, now time.Time)
		after  time.Duration
		want   bool
	}{
		{"no switchover", func(*attester.Group, time.Time) {}, 0, false},
		{"the switchover lease holds", func(g *attester.Group, now time.Time) { g.ExtendSwitchover("a", "c", 1, now.Add(ttl)) }, 0, true},
		{"the switchover lease has ended", func(g *attester.Group, now time.Time) { g.ExtendSwitchover("a", "c", 1, now.Add(ttl)) }, ttl + time.Second, true},
		{"no call takes effect any more", func(g *attester.Group, now time.Time) { g.ExtendSwitchover("a", "c", 1, now.Add(ttl)) }, ttl + attester.SettleLimit + time.Millisecond, false},
		{"another term", func(g *attester.Group, now time.Time) { g.ExtendSwitchover("a", "c", 2, now.Add(ttl)) }, 0, false},
		{"a primary lease was recorded since", func(g *attester.Group, now time.Time) {
			g.ExtendSwitchover("a", "c", 1, now.Add(ttl))
			g.ExtendLease("a", 1, now.Add(ttl+1))
		}, 0, false},
		{"a primary lease of another term was recorded since", func(g *attester.Group, now time.Time) {
			g.ExtendSwitchover("a", "c", 1, now.Add(ttl))
			g.ExtendLease("b", 2, now.Add(ttl+1))
		}, 0, true},
		{"a primary lease that was asked for before arrives late", func(g *attester.Group, now time.Time) {
			g.ExtendSwitchover("a", "c", 1, now.Add(ttl))
			g.ExtendLease("a", 1, now.Add(ttl-1))
		}, 0, true},
		{"a primary lease with a later end was recorded before", func(g *attester.Group, now time.Time) {
			g.ExtendLease("a", 1, now.Add(ttl+1))
			g.ExtendSwitchover("a", "c", 1, now.Add(ttl))
		}, 0, true},
		{"a switchover lease of a second switchover", func(g *attester.Group, now time.Time) {
			g.ExtendSwitchover("a", "c", 1, now.Add(ttl))
			g.ExtendLease("a", 1, now.Add(ttl+1))
			g.ExtendSwitchover("a", "c", 1, now.Add(ttl+2))
		}, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			g := attester.NewGroup(attester.Config{
				Service: exchangertest.Service, AskPeers: func() {}, Clock: clock, Servers: func() []informer.Server { return nil },
			})
			tc.record(g, clock.Now())
			clock.Advance(tc.after)
			l := attester.Leader{Server: informer.Server{ID: "a"}, Term: 1}
			if next, got := g.PendingNext(l); got != tc.want || got && next != "c" {
				t.Errorf("%v, next %q, want %v, c", got, next, tc.want)
			}
		})
	}
}
