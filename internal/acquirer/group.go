package acquirer

import (
	"sync"
	"sync/atomic"
)

// Group is what the sessions of one database group share.
type Group struct {
	// inFlight counts transactions in flight on the primary.
	inFlight atomic.Int64
	// starved counts sessions that have waited longer than starvedWait for a server
	// connection.
	starved atomic.Int64

	mu sync.Mutex
	// reads counts reads in flight by replica.
	reads map[string]int
}

// NewGroup returns a group without work.
func NewGroup() *Group { return &Group{reads: make(map[string]int)} }

// InFlight returns the number of transactions in flight on the primary.
func (g *Group) InFlight() int { return int(g.inFlight.Load()) }

// IsStarved reports whether a session has waited too long for a server connection.
func (g *Group) IsStarved() bool { return g.starved.Load() > 0 }

// Reads returns the number of reads in flight at the replica.
func (g *Group) Reads(server string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reads[server]
}

// AddReads adds to the number of reads in flight at the replica.
func (g *Group) AddReads(server string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reads[server] += n
}
