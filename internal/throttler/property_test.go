package throttler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"marigoldhub.example/hub/internal/allocator"
	"marigoldhub.example/hub/internal/placer"
)

// disturb makes one random event happen.
func (f *fleet) disturb(n uint32) {
	pick := func() *instance { return f.instances[int(n>>8)%len(f.instances)] }
	d := time.Duration(n>>16%3000) * time.Millisecond
	first := chosenBy(f.instances[0].peers)
	allocators := []*instance{f.byName[first[0].Name], f.byName[first[1].Name]}
	switch n % 15 {
	case 0:
		pick().kill(d)
	case 1:
		allocators[n>>8%2].kill(d / 8)
	case 2:
		for _, in := range f.instances {
			in.kill(d / 8)
		}
	case 3:
		pick().freeze(d)
	case 4:
		allocators[n>>8%2].freeze(d)
	case 5:
		for _, in := range f.instances {
			in.freeze(d / 4)
		}
	case 6:
		// Some instances are cut off the others.
		size := int(n>>8)%len(f.instances) + 1
		apart := map[*instance]bool{}
		for _, in := range f.instances[:size] {
			apart[in] = true
		}
		f.isCut = func(a, b *instance) bool { return apart[a] != apart[b] }
	case 7:
		// Messages from the first allocator are lost, those to it arrive.
		silent := allocators[0]
		f.isCut = func(a, _ *instance) bool { return a == silent }
	case 8:
		f.isCut = nil
	case 9:
		f.lossEvery = int(n>>8) % 4
	case 10:
		// Some instances do not list the first allocator.
		for i, in := range f.instances {
			if uint32(i)%2 == n>>8%2 {
				in.peers = withoutPeer(in.peers, first[0].Name)
			}
		}
	case 11:
		for _, in := range f.instances {
			in.peers = f.allPeers()
		}
	case 12:
		f.delay = step * time.Duration(1+n>>8%40)
	case 13:
		// Some instances answer late, so that many answers are not used; or all at once again.
		size := int(n >> 8 % uint32(len(f.instances)+1))
		f.slowAnswers(d/16+step, func(in *instance) bool { return slices.Index(f.instances, in) < size })
	case 14:
		// The allocators' configuration lacks a quota that all instances have, or has it again.
		if f.allocated = nil; n>>8%3 > 0 {
			f.allocated = allocator.NewQuotas(map[string]allocator.Quota{"small": {RatePerSecond: 4, Burst: 4}}).WithVersion(int64(n >> 8 % 3))
		}
	}
}

// expectDemand makes the instances collect tokens without running an operation.
func (f *fleet) expectDemand(teams []testTeam) {
	for _, in := range f.instances {
		if in.isDown() || in.isFrozen() {
			continue
		}
		for _, tm := range teams {
			a := in.ledger.account(tm.Name, f.budget.Limits(tm.Quota), f.quotas.Version())
			a.demand = demandRate{count: 1000, at: f.now}
		}
	}
}

func withoutPeer(peers []placer.Peer, name string) []placer.Peer {
	var rest []placer.Peer
	for _, p := range peers {
		if p.Name != name {
			rest = append(rest, p)
		}
	}
	return rest
}

func (f *fleet) allPeers() []placer.Peer {
	var peers []placer.Peer
	for _, in := range f.instances {
		peers = append(peers, placer.Peer{Name: in.name, Processor: 200})
	}
	return peers
}

// Guards against operations beyond a quota, summed over all instances, when callers ask
// for all that they can get: an allocator that restarts with a full stock, two allocators
// at the same time that give out the rate twice, tokens that outlive a frozen or cut-off
// instance, a lost answer whose tokens count twice, time that is contributed again.
func TestNoWindowExceedsTheQuota(t *testing.T) {
	teams := []testTeam{team("large", 200, 200), team("small", 4, 4), team("plain", 30, 0)}
	var ran, worst float64
	run := func(bursts bool) func(seed uint32, events []uint32) string {
		return func(seed uint32, events []uint32) string {
			f := newFleet(uint64(seed), 10, teams...)
			f.version = 3
			f.configure(teams...)
			f.refunds = seed%2 == 0
			began := f.now
			between := 8 * time.Second / time.Duration(len(events))
			for i := 0; f.now.Sub(began) < 14*time.Second; {
				if i < len(events) && f.now.Sub(began) >= time.Second+time.Duration(i)*between {
					f.disturb(events[i])
					i++
				}
				f.advance()
				if f.now.UnixMilli()%4 != 0 {
					continue
				}
				if bursts && f.now.Sub(began)/(1500*time.Millisecond)%2 == 0 {
					f.expectDemand(teams)
					continue
				}
				for _, in := range f.instances {
					for _, tm := range teams {
						in.ask(tm.Name)
					}
				}
			}
			for _, tm := range teams {
				n := f.mostInWindow(tm.Name, time.Time{})
				ran += float64(len(f.ran[tm.Name]))
				worst = max(worst, float64(n)/float64(f.allowed(tm)))
				if n > f.allowed(tm) {
					return fmt.Sprintf("%s ran %d operations in a window, more than %d", tm.Name, n, f.allowed(tm))
				}
			}
			return ""
		}
	}
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 20
	params.Rng.Seed(20261206) // The same cases on every run.
	properties := gopter.NewProperties(params)
	events := gen.SliceOfN(24, gen.UInt32())
	properties.Property("steady demand", prop.ForAllNoShrink(run(false), gen.UInt32(), events))
	properties.Property("demand after pauses", prop.ForAllNoShrink(run(true), gen.UInt32(), events))
	properties.TestingRun(t)
	t.Logf("%.0f operations ran; the fullest window had %.2f of what is allowed", ran, worst)
	if ran < 1000 {
		t.Error("the model admitted too few operations")
	}
}
