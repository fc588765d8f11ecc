package placer

// StartupShare returns how many connections an instance that has just started may
// open: half of its share, at least one. After a power loss the servers still
// count the previous connections, and the instances that return together must not
// take all that is left from each other.
func StartupShare(share int) int { return max(share/2, 1) }
