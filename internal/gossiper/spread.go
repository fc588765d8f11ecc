package gossiper

import (
	"slices"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// maxTellTime is how long an instance that spreads news waits for another one to answer before it
// tells the next. It is shorter than exchangeTimeout, so that a silent instance does not delay
// those behind it; its exchange goes on in the background.
const maxTellTime = 150 * time.Millisecond

// spreader remembers that there is news to spread.
type spreader struct {
	mu      sync.Mutex
	running bool
	// pending is set while there is news that was not spread, isSource if some of it did not
	// come from another instance.
	pending, isSource bool
}

// add records news and reports whether the caller must spread it.
func (s *spreader) add(isSource bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending, s.isSource = true, s.isSource || isSource
	first := !s.running
	s.running = true
	return first
}

// next returns whether there is news to spread; no other caller of add must spread it then.
func (s *spreader) next() (isSource, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isSource, ok = s.isSource, s.pending
	s.isSource, s.pending, s.running = false, false, ok
	return isSource, ok
}

// Spread passes this instance's news on in the background, along the blocks of
// [Config.Blocks]. An instance tells the first of the second half of its block, which spreads
// the news in that half, and goes on with the first half. So the number of instances that each
// one tells is the logarithm of the size of its block, and no link carries the configuration
// more often. IsSource is true if the news did not come from another instance; the first of
// all other blocks are told then, together.
func (g *Gossiper) Spread(isSource bool) {
	if !g.news.add(isSource) {
		return
	}
	go func() {
		for {
			isSource, ok := g.news.next()
			if !ok || g.ctx.Err() != nil {
				return
			}
			own, others := g.blocks()
			if isSource {
				own = append(own, g.tellFirst(others)...)
			}
			for len(own) > 0 && g.ctx.Err() == nil {
				block := own[0]
				own = own[1:]
				if !g.tell(block[0]) {
					own = slices.Concat(split(block), own)
				}
			}
		}
	}()
}

// blocks returns the blocks in which this instance spreads news, and those of others. The first
// of each is told.
func (g *Gossiper) blocks() (own, others [][]string) {
	for _, block := range g.cfg.Blocks() {
		if !slices.Contains(block, g.cfg.Address) {
			others = append(others, block)
			continue
		}
		for block[0] != g.cfg.Address {
			halves := split(block)
			block = halves[slices.IndexFunc(halves, func(b []string) bool { return slices.Contains(b, g.cfg.Address) })]
		}
		own = split(block)
	}
	return own, others
}

// tellFirst tells the first of each block, and returns what is left to be told in the blocks
// whose first does not answer.
func (g *Gossiper) tellFirst(blocks [][]string) (left [][]string) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, block := range blocks {
		wg.Go(func() {
			if g.tell(block[0]) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			left = append(left, split(block)...)
		})
	}
	wg.Wait()
	return left
}

// split returns the parts of a block that its first instance passes news on to, the largest
// first.
func split(block []string) (parts [][]string) {
	for len(block) > 1 {
		half := (len(block) + 1) / 2
		parts = append(parts, block[half:])
		block = block[:half]
	}
	return parts
}

// tell makes the instance at the address learn this instance's news, and waits while the link
// sends it the configuration. It reports whether the instance answered in time.
func (g *Gossiper) tell(address string) bool {
	answer := make(chan *wire.PeerState, 1)
	go func() {
		state, _, err := g.exchangeWithin(g.ctx, address, exchangeTimeout)
		if err != nil {
			g.cfg.Log.WithError(err).Debug("gossiper: a change could not be passed on to an instance")
		}
		answer <- state
	}()
	select {
	case state := <-answer:
		if state != nil && state.GetConfigurationVersion() < g.version.Load() {
			// It fetches the configuration now.
			g.pause(g.transfers.duration(len(g.cfg.View.State(state).GetConfiguration())))
		}
		return state != nil
	case <-g.cfg.Clock.After(maxTellTime):
		return false
	case <-g.ctx.Done():
		return false
	}
}

func (g *Gossiper) pause(d time.Duration) {
	select {
	case <-g.cfg.Clock.After(d):
	case <-g.ctx.Done():
	}
}
