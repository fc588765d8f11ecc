package noder

import (
	"fmt"
	"slices"
	"testing"

	"marigoldhub.example/hub/internal/placer"
)

// Guards against instances that are in no block, which learn news late, and against blocks over
// several zones, in which each configuration would cross them.
func TestSpreadBlocks(t *testing.T) {
	for _, instances := range []int{1, 3, 16, 17, 30, 100, 300} {
		var peers []placer.Peer
		zoneOf := map[string]string{}
		for i := range instances {
			// Zone z4 is small and often without a reader.
			zone := fmt.Sprint("z", i%4)
			if i%25 == 24 {
				zone = "z4"
			}
			peers = append(peers, placer.Peer{Name: fmt.Sprintf("i%03d", i), Address: fmt.Sprint("a", i), Zone: zone})
			zoneOf[fmt.Sprint("a", i)] = zone
		}
		firsts := placer.Rendezvous(readerJob, peers, readers)
		seen := map[string]int{}
		blocks := spreadBlocks(peers, firsts)
		for _, block := range blocks {
			for _, address := range block {
				seen[address]++
				if zoneOf[address] != zoneOf[block[0]] {
					t.Errorf("%d instances: a block of %s has %s of %s", instances, zoneOf[block[0]], address, zoneOf[address])
				}
			}
		}
		for _, p := range peers {
			if seen[p.Address] != 1 {
				t.Errorf("%d instances: %s is in %d blocks", instances, p.Name, seen[p.Address])
			}
		}
		for _, p := range firsts {
			if !slices.ContainsFunc(blocks, func(b []string) bool { return b[0] == p.Address }) {
				t.Errorf("%d instances: reader %s is not the first of a block", instances, p.Name)
			}
		}
	}
}
