package placer

// StartupShare returns the share of an instance that has just started. After a
// loss of power the servers still count the connections of before; instances
// that return together must leave each other at least one.
func StartupShare(share int) int { return max(share/2, 1) }
