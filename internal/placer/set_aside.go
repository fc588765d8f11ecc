package placer

import (
	"slices"
	"time"
)

// Relieve returns the candidates as they are for one read: servers that are set aside are
// treated like others for the share of the reads for which their siblings have no room.
// The share is none while a sibling is idle, and rises to all reads as the shortest
// reported wait rises to what a read waits at most before it is tried elsewhere. It answers
// the load that two servers can run and one cannot. Random is in [0, 1).
func Relieve(candidates []Candidate, objective time.Duration, random float64) []Candidate {
	shortest := time.Duration(-1)
	isAnyAside := false
	for _, c := range candidates {
		isAnyAside = isAnyAside || c.SetAside
		if !c.SetAside && c.isUsable() && (shortest < 0 || c.Wait < shortest) {
			shortest = c.Wait
		}
	}
	limit := max(objective/spillDivisor, time.Millisecond)
	if !isAnyAside || shortest >= 0 && random >= float64(shortest)/float64(limit) {
		return candidates
	}
	out := slices.Clone(candidates)
	for i := range out {
		out[i].SetAside = false
	}
	return out
}

// isUsable reports whether the server is expected to run a read.
func (c Candidate) isUsable() bool { return !c.Avoid && !c.Behind && !c.Lacks }

// ProbeTarget returns the index of a replica that gets no reads because it is set aside, or
// because it is of the instance's own zone and took longer than the chosen one when it was
// last used; -1 if there is none. Without a read now and then, nothing would show that it
// is well again.
func ProbeTarget(candidates []Candidate, chosen int) int {
	if chosen < 0 || candidates[chosen].SetAside {
		return -1
	}
	for i, c := range candidates {
		if i == chosen || c.Primary || !c.isUsable() {
			continue
		}
		if known := candidates[chosen].Latency; c.SetAside || c.SameZone && known > 0 && c.Latency > known {
			return i
		}
	}
	return -1
}
