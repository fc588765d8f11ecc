package platform

import (
	"maps"
	"sync"
)

// Counts is the answer of GET /v1/counts.
type Counts struct {
	// Calls counts calls by kind since the start.
	Calls map[string]int64 `json:"calls"`
	// OpenWatches is the number of watches that are open now.
	OpenWatches int `json:"open_watches"`
	// WatchEvents counts the events sent.
	WatchEvents int64 `json:"watch_events"`
}

type counter struct {
	mu sync.Mutex
	Counts
}

func (c *counter) call(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Calls == nil {
		c.Calls = map[string]int64{}
	}
	c.Calls[kind]++
}

func (c *counter) watch(open int, events int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.OpenWatches += open
	c.WatchEvents += int64(events)
}

func (c *counter) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.Counts
	counts.Calls = maps.Clone(counts.Calls)
	return counts
}
