package promoter_test

import (
	"context"
	"errors"
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

var (
	chaosSeed = flag.Uint64("chaos-seed", 0, "seed of TestChaos; 0 draws one")
	chaosTime = flag.Duration("chaos-time", 6*time.Second, "length of TestChaos")
)

// chaosRecord holds the positions that any monitor confirmed or reported as lost.
type chaosRecord struct {
	mu        sync.Mutex
	confirmed []tracker.Position
	lost      []tracker.Position
}

// writeLoop writes to any server that accepts writes, even a replaced primary,
// and records what the monitor reports about each record.
func (a *chaosRecord) writeLoop(ctx context.Context, g *fakeGroup, m *monitor, rnd *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rnd.IntN(4)) * time.Millisecond)
		server := g.tracked.Servers[rnd.IntN(len(g.tracked.Servers))].Name
		p, ok := g.write(server, 1)
		if !ok {
			continue
		}
		proof, err := m.confirm(p, 500*time.Millisecond)
		if err != nil {
			continue
		}
		a.mu.Lock()
		if !proof.Superseded || proof.Lineage.Contains(p) {
			a.confirmed = append(a.confirmed, p)
		} else {
			a.lost = append(a.lost, p)
		}
		a.mu.Unlock()
	}
}

// injectFaults kills, isolates and slows down servers, at most one at a time.
func injectFaults(ctx context.Context, g *fakeGroup, rnd *rand.Rand) {
	for ctx.Err() == nil {
		name := g.tracked.Servers[rnd.IntN(len(g.tracked.Servers))].Name
		switch rnd.IntN(3) {
		case 0:
			g.set(name, func(s *fakeServer) { s.dead = true })
		case 1:
			g.set(name, func(s *fakeServer) { s.cut = true })
		case 2:
			g.setSlow(name, true)
		}
		time.Sleep(time.Duration(rnd.IntN(900)) * time.Millisecond)
		g.set(name, func(s *fakeServer) { s.dead, s.cut = false, false })
		g.setSlow(name, false)
		time.Sleep(time.Duration(rnd.IntN(200)) * time.Millisecond)
	}
}

// Guards against confirmed records that are lost, and against records reported
// as lost that are in the log, when two monitors act on a group whose servers
// fail at random.
func TestChaos(t *testing.T) {
	seed := *chaosSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	t.Logf("seed %d", seed)
	g := newFakeGroup(t, 3, true)
	monitors := []*monitor{g.startMonitor(t, "i1", nil, nil), g.startMonitor(t, "i2", nil, nil)}
	ctx, cancel := context.WithTimeout(context.Background(), *chaosTime)
	defer cancel()
	var acks chaosRecord
	var wg sync.WaitGroup
	wg.Go(func() { injectFaults(ctx, g, rand.New(rand.NewPCG(seed, 0))) })
	for n := range 4 {
		wg.Go(func() { acks.writeLoop(ctx, g, monitors[n%2], rand.New(rand.NewPCG(seed, uint64(n+1)))) })
	}
	wg.Wait()
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		t.Fatal(ctx.Err())
	}
	var s tracker.State
	eventually(t, "group has recovered", func() bool {
		s = monitors[0].tracker.State()
		return s.Primary != "" && s.HighestTerm() == s.Term && s.Server(s.Primary).Reachable()
	})
	log := g.get(s.Primary).log
	has := func(p tracker.Position) bool {
		return uint64(len(log)) >= p.Offset && log[p.Offset-1] == p.Term
	}
	for _, p := range acks.confirmed {
		if !has(p) {
			t.Errorf("confirmed record %v is lost", p)
		}
	}
	for _, p := range acks.lost {
		if has(p) {
			t.Errorf("record %v that was reported as lost is in the log", p)
		}
	}
	t.Logf("%d records confirmed, %d lost, last term %d", len(acks.confirmed), len(acks.lost), s.Term)
	if len(acks.confirmed) < 100 {
		t.Errorf("only %d records were confirmed", len(acks.confirmed))
	}
}
