package divider

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/pooler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// directory is an [enroller.Directory] whose members and holder a test sets.
type directory struct {
	self    string
	mu      sync.Mutex
	members []string
	holder  string
	changed chan struct{}
}

func (d *directory) set(holder string, members ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder, d.members = holder, slices.Clone(members)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *directory) Self() enroller.Member { return enroller.Member{Instance: d.self} }

func (d *directory) Members() (members []enroller.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.members {
		members = append(members, enroller.Member{Instance: name})
	}
	return members
}

func (d *directory) Holder(string) enroller.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return enroller.Member{Instance: d.holder}
}

func (d *directory) HolderInZone(string, string) (enroller.Member, bool) {
	return enroller.Member{}, false
}

func (d *directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

type source struct{ catalog *checker.Catalog }

func (s source) Catalog() *checker.Catalog { return s.catalog }
func (source) Changed() <-chan struct{}    { return nil }

func newDivider(t *testing.T, self string, limit int, clock clockwork.Clock, count func(string, string) (int, bool)) (*Divider, *directory) {
	t.Helper()
	dir := &directory{self: self, holder: self, members: []string{self}, changed: make(chan struct{})}
	manifest := checker.Manifest{Groups: []checker.Group{{
		Name: "g", Servers: []checker.Server{{Name: "a", Address: "127.0.0.1:1", ConnectionLimit: limit}},
	}}}
	d := New(Config{Catalog: source{checker.NewCatalog(manifest)}, Directory: dir, Count: count, Clock: clock})
	t.Cleanup(func() { _ = d.Close() })
	return d, dir
}

// report is what an instance reports about server a.
type report struct{ open, inUse, waiting, granted int }

// ask returns the grant, or -1 if the divider is not the monitor.
func ask(t *testing.T, d *Divider, instance string, r report) int {
	t.Helper()
	resp, err := d.Grant(context.Background(), &wire.GrantRequest{
		Header: &wire.Header{Instance: instance},
		Group:  "g",
		Demands: []*wire.ServerDemand{{
			Server: "a", Open: uint32(r.open), InUse: uint32(r.inUse), Waiting: uint32(r.waiting), Granted: uint32(r.granted),
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if !resp.GetIsMonitor() {
		return -1
	}
	return int(resp.GetGrants()[0].GetConnections())
}

// Guards against a new monitor that grants by demand while grants of an earlier
// monitor are in force, and against a process that grants as the only member
// right after its start.
func TestNewMonitorGrantsGuaranteedShares(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d, dir := newDivider(t, "e0", 20, clock, nil)
	if got := ask(t, d, "e0", report{waiting: 100}); got != pooler.UngrantedConnections(20) {
		t.Errorf("grant %d right after the start, want %d", got, pooler.UngrantedConnections(20))
	}
	dir.set("e0", "e0", "e1", "e2", "e3")
	clock.Advance(pooler.GrantDuration)
	dir.set("e1", "e0", "e1", "e2", "e3")
	if got := ask(t, d, "e0", report{}); got != -1 {
		t.Errorf("grant %d from an instance that is not the monitor", got)
	}
	dir.set("e0", "e0", "e1", "e2", "e3")
	if got := ask(t, d, "e0", report{waiting: 100}); got != 4 {
		t.Errorf("grant %d from a new monitor, want the share of 4", got)
	}
	clock.Advance(pooler.GrantDuration)
	if got := ask(t, d, "e0", report{waiting: 100}); got != 6 {
		t.Errorf("grant %d after the grants of earlier monitors expired, want 4 and the remainder of 2", got)
	}
	if got := ask(t, d, "e1", report{waiting: 100}); got != 4 {
		t.Errorf("grant %d for the second instance, want 4", got)
	}
}

// Guards against two monitors whose grants exceed the limit together: the newer
// one must grant only the shares of the membership that the older one knew.
func TestTwoMonitors(t *testing.T) {
	clock := clockwork.NewFakeClock()
	all := []string{"e0", "e1", "e2", "e3"}
	older, olderDir := newDivider(t, "e0", 20, clock, nil)
	newer, newerDir := newDivider(t, "e1", 20, clock, nil)
	olderDir.set("e0", all...)
	newerDir.set("e0", all...)
	clock.Advance(2 * pooler.GrantDuration)
	if got := ask(t, newer, "e1", report{}); got != -1 {
		t.Fatalf("grant %d from a member that is not the monitor", got)
	}
	granted := map[string]int{}
	for _, name := range all {
		granted[name] = ask(t, older, name, report{waiting: 9})
	}
	clock.Advance(pooler.GrantDuration)
	for _, name := range all {
		granted[name] = ask(t, older, name, report{waiting: 9, granted: granted[name]})
	}
	newerDir.set("e1", "e1", "e2", "e3")
	for _, name := range all[1:] {
		if got := ask(t, newer, name, report{waiting: 9, granted: granted[name]}); got > 0 {
			granted[name] = max(granted[name], got)
		}
	}
	sum := 0
	for _, n := range granted {
		sum += n
	}
	if sum > 18 {
		t.Errorf("two monitors granted %v, %d in total, want at most 18", granted, sum)
	}
}

// Guards against granting the connections of a silent instance to others while
// the server still counts them.
func TestSilentInstanceCounts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	count, counted := 0, false
	d, dir := newDivider(t, "e0", 20, clock, func(string, string) (int, bool) { return count, counted })
	dir.set("e0", "e0", "e1")
	clock.Advance(pooler.GrantDuration)
	ask(t, d, "e0", report{})
	clock.Advance(pooler.GrantDuration)
	if got := ask(t, d, "e1", report{open: 9, inUse: 9}); got != 9 {
		t.Fatalf("grant %d, want 9", got)
	}
	dir.set("e0", "e0")
	ask(t, d, "e0", report{})
	clock.Advance(pooler.GrantDuration)
	want := func(grant int, what string) {
		t.Helper()
		if got := ask(t, d, "e0", report{open: 2, inUse: 2, waiting: 30}); got != grant {
			t.Errorf("%s: grant %d, want %d", what, got, grant)
		}
	}
	clock.Advance(pooler.GrantDuration)
	want(9, "count unknown")
	count, counted = 1+2+5, true
	want(9, "right after the count fell")
	clock.Advance(orphanedSettleTime)
	want(13, "five orphaned connections")
	count = 1 + 2
	want(13, "right after the count fell again")
	clock.Advance(orphanedSettleTime)
	want(18, "no orphaned connections")
}

// Guards against a delayed request that replaces a later report.
func TestOvertakenRequest(t *testing.T) {
	d, _ := newDivider(t, "e0", 20, clockwork.NewFakeClock(), nil)
	send := func(lamport uint64) bool {
		resp, err := d.Grant(context.Background(), &wire.GrantRequest{Header: &wire.Header{Instance: "e1", Lamport: lamport}, Group: "g"})
		if err != nil {
			t.Fatal(err)
		}
		return resp.GetIsMonitor()
	}
	if !send(7) || send(6) {
		t.Error("a request with an older Lamport time was answered")
	}
}

// instance models an instance that opens as many connections as it may.
type instance struct {
	name    string
	granted int
	expires time.Time
	open    int
	busy    int
	alive   bool
}

func (i *instance) allowance(now time.Time, limit int) int {
	if now.Before(i.expires) {
		return i.granted
	}
	if i.expires.IsZero() {
		return 0
	}
	return pooler.UngrantedConnections(limit)
}

// Guards against a total above the limit when requests and responses are lost
// and instances stop and return while one instance is the monitor.
func TestTotalStaysWithinLimit(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { simulate(t, seed) })
	}
}

func simulate(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	clock := clockwork.NewFakeClock()
	limit := []int{20, 40}[rng.IntN(2)]
	var all []*instance
	for i := range 2 + rng.IntN(7) {
		all = append(all, &instance{name: fmt.Sprint("e", i), alive: true})
	}
	total := func() int {
		sum := 0
		for _, i := range all {
			sum += i.open
		}
		return sum
	}
	d, dir := newDivider(t, "e0", limit, clock, func(string, string) (int, bool) { return total() + 1, rng.IntN(4) > 0 })
	updateDirectory := func() {
		var names []string
		for _, i := range all {
			if i.alive {
				names = append(names, i.name)
			}
		}
		dir.set("e0", names...)
	}
	updateDirectory()
	for step := range 400 {
		clock.Advance(time.Duration(rng.IntN(300)) * time.Millisecond)
		now := clock.Now()
		i := all[rng.IntN(len(all))]
		switch action := rng.IntN(20); {
		case action == 0 && i.name != "e0":
			i.alive = !i.alive
			// A new or resumed instance asks the monitor first.
			i.expires = time.Time{}
			updateDirectory()
		case !i.alive:
			// The server detects the loss of a failed instance's connections
			// one by one.
			i.open = max(i.open-rng.IntN(3), 0)
			i.busy = i.open
		case action < 10:
			sent := now
			if rng.IntN(10) == 0 {
				break
			}
			n := ask(t, d, i.name, report{open: i.open, inUse: i.busy, waiting: rng.IntN(8), granted: i.allowance(now, limit)})
			if rng.IntN(10) > 0 {
				i.granted, i.expires = n, sent.Add(pooler.GrantDuration)
			}
		default:
			i.busy = rng.IntN(i.open + 1)
		}
		for _, i := range all {
			if i.alive {
				allowed := i.allowance(now, limit)
				i.open = max(i.busy, min(i.open, allowed))
				for i.open < allowed && rng.IntN(3) > 0 {
					i.open++
					i.busy++
				}
			}
		}
		if sum := total(); sum > limit-pooler.ReservedConnections {
			t.Fatalf("step %d: %d connections, limit %d", step, sum, limit)
		}
	}
}
