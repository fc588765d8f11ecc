package retainer

import "sync"

// Pins counts the pinned connections of each caller.
type Pins struct {
	mu       sync.Mutex
	byCaller map[string]int
}

// reserve counts one more pinned connection of the caller unless the limit
// is reached.
func (p *Pins) reserve(caller string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byCaller[caller] >= limit {
		return false
	}
	if p.byCaller == nil {
		p.byCaller = make(map[string]int)
	}
	p.byCaller[caller]++
	return true
}

func (p *Pins) release(caller string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byCaller[caller]--
	if p.byCaller[caller] <= 0 {
		delete(p.byCaller, caller)
	}
}
