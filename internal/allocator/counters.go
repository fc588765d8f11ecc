package allocator

import (
	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// counters count what was given out.
type counters struct {
	requests, tokens, shortages metrics.Counter
	members                     metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	return counters{
		requests:  metrics.GetOrRegisterCounter("allocator.requests", r),
		tokens:    metrics.GetOrRegisterCounter("allocator.tokens", r),
		shortages: metrics.GetOrRegisterCounter("allocator.shortages", r),
		members:   metrics.GetOrRegisterGauge("allocator.members", r),
	}
}

// observe counts a response of a pool with that many members.
func (c counters) observe(out *wire.QuotaResponse, members int) {
	c.requests.Inc(1)
	c.members.Update(int64(members))
	for _, g := range out.GetGrants() {
		c.tokens.Inc(int64(g.GetTokens()))
		if g.GetRetryUs() > 0 {
			c.shortages.Inc(1)
		}
	}
}
