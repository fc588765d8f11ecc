package attempter

import (
	"fmt"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/placer"
)

// Guards against memory that grows with the services at which a request was ever refused.
func TestReturnsAreForgotten(t *testing.T) {
	var r returns
	now := time.Unix(9, 0)
	for i := range 10_000 {
		r.book(now, returnKey{service: fmt.Sprint("s", i)}, placer.Refusal{Patience: time.Second, Interval: 10 * time.Millisecond})
		now = now.Add(20 * time.Millisecond)
	}
	// Places are in the future for at most 7.5 s, that of 375 of them.
	if n := len(r.byKey); n > 1000 {
		t.Errorf("%d services are remembered", n)
	}
}
