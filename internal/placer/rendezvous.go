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
	return rendezvousAmong(key, peers, n, func(Peer) bool { return true })
}

// rendezvousAmong is [Rendezvous] among the peers for which isIn is true. It keeps only the n
// best while it looks at them: a large fleet makes this choice for thousands of servers when the
// list of instances changes.
func rendezvousAmong(key string, peers []Peer, n int, isIn func(Peer) bool) []Peer {
	type ranked struct {
		index int
		hash  uint64
	}
	best := make([]ranked, 0, min(n, len(peers))+1)
	text := append(append(make([]byte, 0, 64), key...), 0)
	for i, p := range peers {
		if !isIn(p) {
			continue
		}
		r := ranked{i, xxhash.Sum64(append(text, p.Name...))}
		compare := func(a, b ranked) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(peers[a.index].Name, peers[b.index].Name))
		}
		if len(best) == n && (n == 0 || compare(r, best[n-1]) > 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, r, compare)
		best = slices.Insert(best, at, r)
		best = best[:min(len(best), n)]
	}
	out := make([]Peer, 0, len(best))
	for _, r := range best {
		out = append(out, peers[r.index])
	}
	return out
}
