package enroller

import "github.com/cespare/xxhash/v2"

// chooseHolder returns the member with the highest score for the role. The
// failure of a member moves only the roles that it held.
func chooseHolder(role string, members []Member) (Member, bool) {
	var best Member
	var bestScore uint64
	found := false
	for _, m := range members {
		score := roleScore(role, m.Instance)
		if !found || score > bestScore || (score == bestScore && m.Instance < best.Instance) {
			best, bestScore, found = m, score, true
		}
	}
	return best, found
}

func roleScore(role, instance string) uint64 {
	var space [2 * maxNameBytes]byte
	buf := append(space[:0], instance...)
	// The separator cannot occur in names.
	buf = append(buf, 0)
	buf = append(buf, role...)
	return xxhash.Sum64(buf)
}
