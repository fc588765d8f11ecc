package executor

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against a discard without an id that refuses all statements outside transactions,
// against memory that grows with the discards of whoever connects, and against a new discard
// that is dropped in favor of old ones.
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
		{"full", maxDiscarded, discardMemory, "a/1/1", 0, true},
		{"full of old ones", maxDiscarded, discardMemory + 1, "a/1/1", 0, true},
		{"full several times", 3*maxDiscarded + 1, 0, "a/1/1", 0, true},
		{"again, while full", maxDiscarded, discardMemory, "other/0", discardMemory, true},
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
		if n := max(len(d.byID), len(d.ids)); n > maxDiscarded {
			t.Errorf("%s: %d are kept", tc.name, n)
		}
	}
}

// Guards against a discard that is repeated and drops more than the oldest one, and against one
// that is forgotten because of its older entry.
func TestOldestDiscardIsForgotten(t *testing.T) {
	var d discardedIDs
	now := time.Unix(1000, 0)
	id := func(i int) string { return fmt.Sprint("other/", i) }
	for i := range maxDiscarded {
		d.add(id(i), now)
	}
	d.add(id(0), now)
	d.add(id(maxDiscarded), now)
	for i, want := range map[int]bool{0: true, 1: false, 2: true, maxDiscarded: true} {
		if got := d.contains(id(i), now); got != want {
			t.Errorf("discard %d is remembered: %v, want %v", i, got, want)
		}
	}
}
