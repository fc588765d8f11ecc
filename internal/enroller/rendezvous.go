package enroller

import "github.com/cespare/xxhash/v2"

// choose returns the member with the highest score for the duty. The loss of
// a member moves only the duties that it held.
func choose(duty string, members []Member) (Member, bool) {
	var best Member
	var bestScore uint64
	found := false
	for _, m := range members {
		score := dutyScore(duty, m.Instance)
		if !found || score > bestScore || (score == bestScore && m.Instance < best.Instance) {
			best, bestScore, found = m, score, true
		}
	}
	return best, found
}

func dutyScore(duty, instance string) uint64 {
	var space [2 * maxNameBytes]byte
	buf := append(space[:0], instance...)
	// The separator cannot occur in names.
	buf = append(buf, 0)
	buf = append(buf, duty...)
	return xxhash.Sum64(buf)
}
