package allocator

import (
	"fmt"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// Guards against instances that only ask how much an allocator is used and count as its
// members: its stock would be that of the whole fleet beside the stock of the one that the
// fleet uses. Guards against one report of a huge fleet, which would stop the refill.
func TestShareOfAPool(t *testing.T) {
	now := time.Unix(100, 0)
	p := newPool()
	p.adopt(map[string]Limits{"t": {Rate: 100, Window: 5 * time.Second, Lag: 300 * time.Millisecond, Stock: 80, Young: 60}}, now)
	for i := range 10 {
		elapsed := uint64(0)
		if i == 0 {
			elapsed = 200_000
		}
		p.acquire(&wire.QuotaRequest{Instance: fmt.Sprint(i), Sequence: 1, ElapsedUs: elapsed, Instances: 10}, 10, now)
	}
	if got := p.share(10, now); got != 0.1 {
		t.Errorf("share %v with one member that contributes, want 0.1", got)
	}
	p.acquire(&wire.QuotaRequest{Instance: "0", Sequence: 2, Instances: 1 << 30}, 10, now)
	if n := p.fleet.Observe(0, now); n > 100 {
		t.Errorf("a report of a huge fleet counts as %d instances", n)
	}
}
