package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/placer"
)

const (
	// startSpread is the time within which machines that get power together start.
	startSpread = 300 * time.Millisecond
	// linger is how long servers count connections of before.
	linger = 3 * time.Second
)

// starter is an instance that starts again after a loss of all power.
type starter struct {
	placer.Peer
	// up is when it starts, registered when others may list it, and lists are when it lists them.
	up, registered time.Duration
	lists          []time.Duration
	// gateways are those of the server by the last list.
	gateways []placer.Peer
}

// list updates the gateways of the server by the instances that have registered.
func (s *starter) list(now time.Duration, server string, limit int, fleet []*starter) {
	s.lists = s.lists[1:]
	var known []placer.Peer
	for _, o := range fleet {
		if o.registered <= now || o == s {
			known = append(known, o.Peer)
		}
	}
	s.gateways = placer.Gateways(server, "z0", known, placer.GatewayCount(limit, len(known)))
}

// rank returns the rank of the instance among the gateways that it knows; -1 if it is none.
func (s *starter) rank() int {
	for i, g := range s.gateways {
		if g.Name == s.Name {
			return i
		}
	}
	return -1
}

// mayOpen returns how many connections to the server the instance opens in the worst case.
// One that is no gateway opens some only if it reaches none.
func (s *starter) mayOpen(now time.Duration, limit int, up map[string]bool) int {
	rank := s.rank()
	if now < s.up {
		return 0
	}
	for _, g := range s.gateways {
		if rank < 0 && up[g.Name] {
			return 0
		}
	}
	share := 1
	switch {
	case len(s.gateways) == 0:
		share, rank = limit, 0
	case rank >= 0:
		share = placer.GatewayShare(limit, len(s.gateways), rank)
	}
	return placer.StartupShare(limit, share, rank, now-s.up)
}

// Guards against a fleet that starts together after a loss of all power and opens more
// connections to a server than it accepts besides those of before, which it still counts
// (zemen-tiles-grown trouble-1: 705 refusals in two seconds), and against one that
// opens too few to serve anything in the first second.
func TestConnectionsAfterALossOfAllPower(t *testing.T) {
	for _, size := range []int{8, 61, 300} {
		for _, limit := range []int{23, 43, 56} {
			for seed := range uint64(5) {
				t.Run(fmt.Sprintf("%d instances, limit %d, seed %d", size, limit, seed), func(t *testing.T) {
					playStart(t, size, limit, rand.New(rand.NewPCG(seed, 1)))
				})
			}
		}
	}
}

func playStart(t *testing.T, size, limit int, rng *rand.Rand) {
	const step = 10 * time.Millisecond
	draw := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	var fleet []*starter
	for i := range size {
		s := &starter{Peer: placer.Peer{Name: fmt.Sprint("i", i), Zone: fmt.Sprint("z", i%3)}, up: draw(0, startSpread)}
		s.registered = s.up + draw(10*time.Millisecond, 100*time.Millisecond)
		for _, after := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
			s.lists = append(s.lists, s.registered+draw(4*time.Millisecond, 20*time.Millisecond)+after)
		}
		fleet = append(fleet, s)
	}
	// The previous gateways: the first one kept what it prefers, the others one each.
	before := placer.PreferredConnections(limit, placer.GatewayShare(limit, 3, 0)) + 2
	for now := time.Duration(0); now < linger; now += step {
		up := map[string]bool{}
		for _, s := range fleet {
			up[s.Name] = s.up <= now
			if len(s.lists) > 0 && s.lists[0] <= now {
				s.list(now, "server", limit, fleet)
			}
		}
		open, mostOfOne := 0, 0
		for _, s := range fleet {
			if len(s.gateways) == 0 && s.lists[0] > now {
				continue // It has no list, and is no seed.
			}
			n := s.mayOpen(now, limit, up)
			open += n
			if s.rank() == 0 {
				mostOfOne = max(mostOfOne, n)
			}
		}
		if open+before > limit {
			t.Fatalf("after %v, %d connections are opened besides %d of before", now, open, before)
		}
		if now >= time.Second && mostOfOne < limit/8 {
			t.Fatalf("after %v, the first gateway opens %d connections", now, mostOfOne)
		}
	}
}
