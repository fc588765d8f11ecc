package exchangertest

import (
	"context"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
)

// Guards against a second call for a server that leads by then which makes it the primary of
// another term: for the present primary nothing changes.
func TestSecondPromoteCallChangesNothing(t *testing.T) {
	c := New("a", "b", "c")
	for range 2 {
		if err := c.Promote(context.Background(), "", "b", "", 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
		conn, err := c.Dial(exchanger.Target{ServerID: "c"}, time.Time{})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Exchange(time.Time{}, exchanger.Statement{Kind: exchanger.Pause, Term: 3}); err != nil {
			t.Fatal(err)
		}
	}
	if s := c.servers["b"]; c.Primary() != "b" || s.term != 2 {
		t.Errorf("%s leads, b knows term %d; want b in term 2", c.Primary(), s.term)
	}
}
