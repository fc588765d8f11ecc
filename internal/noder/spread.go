package noder

import (
	"cmp"
	"maps"
	"slices"

	"marigoldhub.example/hub/internal/placer"
)

// spreadBlocks returns the addresses of the listed instances in the blocks in which news is
// spread (see [gossiper.Config]).
func (n *Node) spreadBlocks() [][]string {
	peers := n.instances()
	if len(peers) <= smallFleet {
		return spreadBlocks(peers, peers)
	}
	return spreadBlocks(peers, placer.Rendezvous(readerJob, peers, readers))
}

// spreadBlocks divides the peers into blocks, each within one availability zone. The first of a
// block is a reader, or the first peer by name in a zone without readers, so that a configuration
// crosses zones only to the first of a block.
func spreadBlocks(peers, readers []placer.Peer) [][]string {
	byZone := map[string][]placer.Peer{}
	for _, p := range peers {
		byZone[p.Zone] = append(byZone[p.Zone], p)
	}
	var blocks [][]string
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		near := byZone[zone]
		slices.SortFunc(near, func(a, b placer.Peer) int { return cmp.Compare(a.Name, b.Name) })
		isFirst := func(p placer.Peer) bool { return slices.Contains(readers, p) }
		if !slices.ContainsFunc(near, isFirst) {
			isFirst = func(p placer.Peer) bool { return p == near[0] }
		}
		var first, others []placer.Peer
		for _, p := range near {
			if isFirst(p) {
				first = append(first, p)
			} else {
				others = append(others, p)
			}
		}
		for i, p := range first {
			block := []string{p.Address}
			for _, o := range others[i*len(others)/len(first) : (i+1)*len(others)/len(first)] {
				block = append(block, o.Address)
			}
			blocks = append(blocks, block)
		}
	}
	return blocks
}
