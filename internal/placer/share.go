package placer

// StartupShare returns how many of its share of connections an instance that has
// just started may open. After a power loss the servers still count the previous
// connections, and instances that return together must leave each other at least
// one.
func StartupShare(share int) int { return max(share/2, 1) }
