package placer

// Weights of an instance's claim on a server's connections. Instances in the
// server's zone send it most of their reads.
const (
	nearWeight = 2
	farWeight  = 1
)

// Share returns how many connections to a server an instance may hold, so that
// all instances together stay within the limit. It is at least 1.
func Share(limit, nearInstances, farInstances int, near bool) int {
	total := nearWeight*nearInstances + farWeight*farInstances
	weight := farWeight
	if near {
		weight = nearWeight
	}
	return max(limit*weight/max(total, 1), 1)
}

// StartShare returns the share of an instance that has just started. After a
// loss of power the servers still count the connections of before; instances
// that return together must leave each other at least one.
func StartShare(share int) int { return max(share/2, 1) }
