package executor

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against a discard without an id that refuses all statements outside transactions, and
// against memory that grows with the discards of whoever connects, or is never free again.
func TestDiscardedIDsAreLimited(t *testing.T) {
	long := strings.Repeat("x", maxDiscardedID+1)
	for _, tc := range []struct {
		name string
		// others are discarded at the beginning, id after the time.
		others int
		after  time.Duration
		id     string
		// want is whether id is remembered after age.
		age  time.Duration
		want bool
	}{
		{"just discarded", 0, 0, "a/1/1", 0, true},
		{"as long as it is remembered", 0, 0, "a/1/1", discardMemory, true},
		{"longer ago", 0, 0, "a/1/1", discardMemory + 1, false},
		{"no id", 0, 0, "", 0, false},
		{"longer than any id", 0, 0, long, 0, false},
		{"room for one", maxDiscarded - 1, 0, "a/1/1", 0, true},
		{"full", maxDiscarded, discardMemory, "a/1/1", 0, false},
		{"full of old ones", maxDiscarded, discardMemory + 1, "a/1/1", 0, true},
	} {
		var d discardedIDs
		now := time.Unix(1000, 0)
		for i := range tc.others {
			d.add(fmt.Sprint("other/", i), now)
		}
		now = now.Add(tc.after)
		d.add(tc.id, now)
		if got := d.contains(tc.id, now.Add(tc.age)); got != tc.want {
			t.Errorf("%s: remembered %v, want %v", tc.name, got, tc.want)
		}
		if len(d.at) > maxDiscarded {
			t.Errorf("%s: %d are kept", tc.name, len(d.at))
		}
	}
}
