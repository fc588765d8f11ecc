package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Peer is an instance as the others know it.
type Peer struct {
	Name, Zone, Address string
	// Processor is the instance's share of processors in thousandths of a core; 0
	// when it is not known.
	Processor int
}

// Rendezvous returns the n peers that are responsible for the key, by rendezvous
// hashing: all instances that know the same peers agree, and a peer that joins or
// leaves changes at most one of them.
func Rendezvous(key string, peers []Peer, n int) []Peer {
	hash := func(p Peer) uint64 { return xxhash.Sum64String(key + "\x00" + p.Name) }
	type ranked struct {
		Peer
		hash uint64
	}
	all := make([]ranked, 0, len(peers))
	for _, p := range peers {
		all = append(all, ranked{p, hash(p)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name)) })
	out := make([]Peer, 0, n)
	for _, r := range all[:min(n, len(all))] {
		out = append(out, r.Peer)
	}
	return out
}
