package gossiper

import (
	"slices"
	"testing"
)

// Guards against exchanges that all cross zones, and against zones that exchange
// nothing with each other.
func TestExchangesStayNear(t *testing.T) {
	all := []string{"a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4", "b5", "b6", "b7", "b8"}
	for _, tc := range []struct {
		name        string
		all, near   []string
		least, most float64
	}{
		{"large zone", all, all[:4], 0.10, 0.25},
		{"few in the zone", all, all[:3], 0.6, 0.9},
		{"only the zone", all[:4], all[:4], 0, 0},
	} {
		g := &Gossiper{cfg: Config{Addresses: func() []string { return tc.all }, SameZone: func() []string { return tc.near }}}
		const rounds = 4000
		far := 0
		for range rounds {
			if !slices.Contains(tc.near, g.choosePeer()) {
				far++
			}
		}
		if share := float64(far) / rounds; share < tc.least || share > tc.most {
			t.Errorf("%s: %.2f of the exchanges leave the zone, want %.2f to %.2f", tc.name, share, tc.least, tc.most)
		}
	}
	g := &Gossiper{cfg: Config{Addresses: func() []string { return nil }, SameZone: func() []string { return nil }}}
	if got := g.choosePeer(); got != "" {
		t.Errorf("without other instances: %q", got)
	}
}
