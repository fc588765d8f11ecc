package pooler

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/recorder"
)

// Guards against connections that are kept above a grant. Idle ones are closed
// at once and those in use when they are released.
func TestGrantShrinks(t *testing.T) {
	s := startServer(t, "secret")
	f := &fixture{grants: map[string]int{"a": 4}}
	p := startPool(t, f, manifest(entryOf("a", s, 20)), nil)
	waitFor(t, "the grant", func() bool { return statsOf(p, "a").Allowance == 4 })
	var conns []Conn
	for range 4 {
		conns = append(conns, acquire(t, p, Write))
	}
	conns[0].Release()
	conns[1].Release()
	f.setGrants(map[string]int{"a": 1})
	waitFor(t, "idle connections to close", func() bool { return statsOf(p, "a").Open == 2 })
	conns[2].Release()
	waitFor(t, "the busy connection to close", func() bool { return s.open() == 1 })
	conns[3].Release()
	if got := statsOf(p, "a"); got.Open != 1 || got.InUse != 0 {
		t.Errorf("stats %+v, want one idle connection", got)
	}
}

// Guards against a paused process that uses connections of an expired grant. The
// first request after the pause must respect the number for instances without a
// grant.
func TestGrantExpiresWhilePaused(t *testing.T) {
	s := startServer(t, "secret")
	clock := clockwork.NewFakeClock()
	f := &fixture{grants: map[string]int{"a": 6}}
	p := startPool(t, f, manifest(entryOf("a", s, 20)), func(c *Config) { c.Clock = clock })
	waitFor(t, "the grant", func() bool { return statsOf(p, "a").Allowance == 6 })
	var conns []Conn
	for range 6 {
		got := make(chan Conn, 1)
		go func() { got <- acquire(t, p, Write) }()
		waitFor(t, "a connection", func() bool {
			clock.Advance(openJitter)
			return len(got) == 1
		})
		conns = append(conns, <-got)
	}
	for _, c := range conns[:5] {
		c.Release()
	}
	f.setGrants(nil)
	clock.Advance(GrantDuration)
	conns[5].Release()
	waitFor(t, "connections to close", func() bool { return s.open() <= UngrantedConnections(20) })
	if got := statsOf(p, "a"); got.Open > UngrantedConnections(20) {
		t.Errorf("stats %+v, want at most %d open", got, UngrantedConnections(20))
	}
}

// Guards against late responses that replace newer grants.
func TestLateGrantIsIgnored(t *testing.T) {
	s := startServer(t, "secret")
	p := startPool(t, &fixture{}, manifest(entryOf("a", s, 20)), nil)
	g := p.group("g")
	now := time.Now()
	grant := func(n uint32) *wire.GrantResponse {
		return &wire.GrantResponse{DurationMs: 3000, Grants: []*wire.ServerGrant{{Server: "a", Connections: n}}}
	}
	g.acceptGrant(grant(3), now.Add(time.Second))
	g.acceptGrant(grant(9), now)
	if got := statsOf(p, "a").Allowance; got != 3 {
		t.Errorf("allowance %d, want 3", got)
	}
}

// Guards against a restarted instance that never gets a grant because its
// Lamport time is below that before the restart.
func TestRestartedInstanceCatchesUp(t *testing.T) {
	s := startServer(t, "secret")
	f := &fixture{grants: map[string]int{"a": 5}, lamport: 1000}
	p := startPool(t, f, manifest(entryOf("a", s, 20)), func(c *Config) {
		c.Recorder = recorder.New("entry-0", 16, clockwork.NewRealClock())
	})
	waitFor(t, "the grant", func() bool { return statsOf(p, "a").Allowance == 5 })
}

// Guards against a request that fails because the server refused a connection
// (53300), although another connection of the instance becomes free.
func TestServerLimitReached(t *testing.T) {
	s := startServer(t, "secret")
	s.limit.Store(1)
	p := startPool(t, &fixture{grants: map[string]int{"a": 4}}, manifest(entryOf("a", s, 20)), nil)
	waitFor(t, "the grant", func() bool { return statsOf(p, "a").Allowance == 4 })
	first := acquire(t, p, Write)
	time.AfterFunc(100*time.Millisecond, first.Release)
	acquire(t, p, Write).Release()
	f2 := startPool(t, &fixture{}, manifest(entryOf("a", s, 20)), nil)
	_, err := f2.Acquire(context.Background(), Request{Group: "g", Server: "a", Class: Write})
	if got := reasonOf(err); got != ReasonLimit {
		t.Errorf("reason %q (%v), want limit", got, err)
	}
}
