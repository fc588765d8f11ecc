package tracker

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against a tracker that confirms a position that a later term loses,
// gives a fresh confirmation in a replaced term, or reports a confirmed position
// as superseded and lost. Two trackers observe, and several promoters compete.
func TestConfirmationsSurvive(t *testing.T) {
	var acks, fresh, terms int
	run := func(servers int) func([]uint32) string {
		return func(ops []uint32) string {
			m := newModel(servers, 2)
			for _, n := range ops {
				m.step(n)
			}
			acks += len(m.acks)
			fresh += m.fresh
			terms += len(m.ackable)
			return m.fault
		}
	}
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 250
	params.Rng.Seed(20261204) // The same cases on every run.
	properties := gopter.NewProperties(params)
	ops := gen.SliceOfN(800, gen.UInt32())
	properties.Property("three servers", prop.ForAllNoShrink(run(3), ops))
	properties.Property("five servers", prop.ForAllNoShrink(run(5), ops))
	properties.TestingRun(t)
	t.Logf("checked %d confirmed positions, %d fresh proofs, %d established terms", acks, fresh, terms)
	if acks < 1000 || fresh < 1000 || terms < 1000 {
		t.Errorf("the model reached too few states")
	}
}
