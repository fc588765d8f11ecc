package placer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/placer"
)

func peers(zones ...string) []placer.Peer {
	var out []placer.Peer
	for i, z := range zones {
		out = append(out, placer.Peer{Name: fmt.Sprint("i", i), Zone: z, Address: fmt.Sprint("a", i)})
	}
	return out
}

// Guards against gateways that together exceed a server's connection limit, so
// that it refuses the connections of restarted gateways, and against a first
// gateway with too few connections to serve alone.
func TestGatewayShares(t *testing.T) {
	for _, tc := range []struct {
		name             string
		limit, instances int
		want             []int
	}{
		{"one instance", 23, 1, nil},
		{"reservoirs", 16, 8, []int{10, 2, 2}},
		{"cooperative", 23, 8, []int{15, 3, 3}},
		{"cooperative with spare instances", 23, 11, []int{15, 3, 3}},
		{"council unit", 41, 7, []int{29, 5, 5}},
		{"grown cooperative", 34, 71, []int{24, 4, 4}},
		{"grown council unit", 185, 87, []int{131, 26, 26}},
		{"far larger fleet", 34, 5600, []int{24, 4, 4}},
		{"two instances", 16, 2, []int{12, 2}},
		{"few connections", 5, 40, []int{1, 1, 1}},
		{"fewer connections than gateways", 2, 3, []int{1, 1}},
	} {
		n := placer.GatewayCount(tc.limit, tc.instances)
		var got []int
		sum := 0
		for rank := range n {
			got = append(got, placer.GatewayShare(tc.limit, n, rank))
			sum += got[rank]
		}
		if !slices.Equal(got, tc.want) || sum > tc.limit {
			t.Errorf("%s: shares %v, want %v within the limit of %d", tc.name, got, tc.want, tc.limit)
		}
	}
}

// Guards against gateways that keep so many connections of teams open that those which
// return after a loss of all power get none: the servers still count the previous ones.
func TestRoomAfterALossOfAllPower(t *testing.T) {
	for _, limit := range []int{2, 5, 16, 23, 47, 56, 185} {
		n := placer.GatewayCount(limit, 61)
		share := placer.GatewayShare(limit, n, 0)
		kept := placer.PreferredConnections(limit, share)
		if kept < 1 || kept > share {
			t.Errorf("limit %d: %d of a share of %d are kept", limit, kept, share)
		}
		if back := placer.StartupShare(limit, share, 0, 2*time.Second); limit > 5 && kept+back > limit {
			t.Errorf("limit %d: %d are kept before and %d opened after", limit, kept, back)
		}
	}
}

// Guards against instances that disagree on a server's gateways, and against
// the loss of one gateway moving more than its own rank.
func TestGatewaysAgree(t *testing.T) {
	all := peers("z1", "z1", "z1", "z1", "z1", "z1", "z2", "z2", "z2", "z3")
	for s := range 50 {
		server := fmt.Sprint("server-", s)
		first := placer.Gateways(server, "z1", all, 4)
		reversed := slices.Clone(all)
		slices.Reverse(reversed)
		if got := placer.Gateways(server, "z1", reversed, 4); !slices.Equal(got, first) {
			t.Fatalf("%s: %v and %v by the order of the list", server, first, got)
		}
		for _, g := range first {
			if g.Zone != "z1" {
				t.Errorf("%s: gateway %v is in another zone", server, g)
			}
		}
		rest := slices.DeleteFunc(slices.Clone(all), func(p placer.Peer) bool { return p == first[0] })
		if got := placer.Gateways(server, "z1", rest, 4); !slices.Equal(got[:3], first[1:]) {
			t.Errorf("%s: without %s: %v, before %v", server, first[0].Name, got, first)
		}
		if got := placer.Gateways(server, "z2", all, 5); len(got) != 5 || got[2].Zone != "z2" || got[3].Zone == "z2" {
			t.Errorf("%s: peers of the server's zone do not come first: %v", server, got)
		}
	}
}

// Guards against an instance with little processor time as first gateway while a
// stronger one is in the same zone: it could run only some hundred statements a
// second.
func TestStrongGatewaysComeFirst(t *testing.T) {
	all := peers("z1", "z1", "z1", "z1", "z1", "z1", "z1", "z1", "z2", "z2")
	for i := range all {
		all[i].Processor = 192
	}
	all[2].Processor, all[5].Processor, all[9].Processor = 800, 600, 800
	for s := range 20 {
		server := fmt.Sprint("server-", s)
		got := placer.Gateways(server, "z1", all, 3)
		if got[0].Processor < 600 || got[1].Processor < 600 || got[2].Zone != "z1" {
			t.Errorf("%s: %v", server, got)
		}
	}
	unknown := peers("z1", "z1", "z1")
	if got := placer.Gateways("server", "z1", unknown, 3); len(got) != 3 {
		t.Errorf("%d gateways among instances of unknown processor share", len(got))
	}
}

// Guards against a coordinator that every instance of a large fleet asks, and
// against instances that ask each other in a cycle.
func TestPrimaryLeaseRelay(t *testing.T) {
	for _, tc := range []struct{ instances, most int }{{8, 8}, {32, 32}, {71, 6}, {300, 21}, {1000, 70}} {
		var zones []string
		for i := range tc.instances {
			zones = append(zones, fmt.Sprint("z", i%3))
		}
		all := peers(zones...)
		asksCoordinator, asked := 0, map[string]int{}
		for _, self := range all[:min(len(all), 100)] {
			relay, ok := placer.PrimaryLeaseRelay(self, all)
			if !ok {
				asksCoordinator++
				continue
			}
			if relay.Zone != self.Zone {
				t.Errorf("%s asks in another zone", self.Name)
			}
			if _, ok := placer.PrimaryLeaseRelay(relay, all); ok {
				t.Errorf("%d instances: the relay of %s asks another relay", tc.instances, self.Name)
			}
			asked[relay.Name]++
		}
		if asksCoordinator > tc.most {
			t.Errorf("%d instances: %d ask the coordinator, want %d at most", tc.instances, asksCoordinator, tc.most)
		}
		for name, n := range asked {
			if n > 60 {
				t.Errorf("%d instances: %d ask %s", tc.instances, n, name)
			}
		}
	}
}

// Simulates the load that gateways are for: 71 instances send 120 requests of
// 18 ms a second to a server with three slots and 34 connections, and a
// connection handshake takes 12 ms of a slot. With one connection per instance,
// opened on demand, handshakes take the slots and callers are refused; gateways
// keep their connections open.
func TestGatewaysUnderLoad(t *testing.T) {
	const (
		instances = 71
		limit     = 34
		work      = 18 * time.Millisecond
		handshake = 12 * time.Millisecond
		objective = 250 * time.Millisecond
		rate      = 120
		requests  = 20 * rate
	)
	type conn struct{ free time.Duration }
	// simulate sends the requests to holders, each with up to share connections
	// that close after the idle time, and returns how many were in time.
	simulate := func(holders, share int, idle time.Duration) (inTime, handshakes int) {
		var slots [3]time.Duration
		conns := make([][]conn, holders)
		for i := range requests {
			now := time.Duration(i) * time.Second / rate
			h := (i * 37) % holders
			open := 0
			for k := range conns {
				conns[k] = slices.DeleteFunc(conns[k], func(c conn) bool { return c.free+idle < now })
				open += len(conns[k])
			}
			need := work
			best := -1
			for k, c := range conns[h] {
				if best < 0 || c.free < conns[h][best].free {
					best = k
				}
			}
			if best < 0 || conns[h][best].free > now && len(conns[h]) < share {
				if open < limit {
					conns[h] = append(conns[h], conn{now})
					best = len(conns[h]) - 1
					need += handshake
					handshakes++
				} else if best < 0 {
					continue
				}
			}
			s := 0
			for k := range slots {
				if slots[k] < slots[s] {
					s = k
				}
			}
			end := max(now, slots[s], conns[h][best].free) + need
			slots[s], conns[h][best].free = end, end
			if end-now <= objective {
				inTime++
			}
		}
		return inTime, handshakes
	}
	n := placer.GatewayCount(limit, instances)
	direct, directHandshakes := simulate(instances, 1, 200*time.Millisecond)
	shared, sharedHandshakes := simulate(1, placer.GatewayShare(limit, n, 0), 1500*time.Millisecond)
	t.Logf("direct: %d of %d in time, %d handshakes; gateways: %d in time, %d handshakes", direct, requests, directHandshakes, shared, sharedHandshakes)
	if shared < requests*98/100 || direct > requests*9/10 || sharedHandshakes > directHandshakes/10 {
		t.Errorf("gateways: %d in time and %d handshakes; direct: %d and %d", shared, sharedHandshakes, direct, directHandshakes)
	}
}

// Measures the choice of gateways for docs/CAPACITY.md.
func BenchmarkGateways(b *testing.B) {
	for _, n := range []int{8, 71, 300, 5600} {
		var zones []string
		for i := range n {
			zones = append(zones, fmt.Sprint("z", i%4))
		}
		all := peers(zones...)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				placer.Gateways("server-1", "z1", all, 4)
			}
		})
	}
}
