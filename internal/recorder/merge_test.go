package recorder

import (
	"strings"
	"testing"
	"time"
)

// TestMergeOrdersByLamportTime guards against an effect that is shown before
// its cause because wall clocks differ, and against events that are shown twice.
func TestMergeOrdersByLamportTime(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	cause := Event{Instance: "a", Lamport: 4, Wall: at.Add(time.Second), Kind: "cause"}
	effect := Event{Instance: "b", Lamport: 5, Wall: at, Kind: "effect"}
	unrelated := Event{Instance: "b", Lamport: 4, Wall: at, Kind: "unrelated"}
	merged := Merge([]Event{effect}, []Event{cause, effect}, []Event{unrelated})
	var kinds []string
	for _, e := range merged {
		kinds = append(kinds, e.Kind)
	}
	if got := strings.Join(kinds, " "); got != "unrelated cause effect" {
		t.Errorf("got %s", got)
	}
}

// TestLastPromotion guards against a drawing that mixes two promotions.
func TestLastPromotion(t *testing.T) {
	var events []Event
	for i, kind := range []string{"detected", "established", "following", "detected", "refused", "detected", "fenced", "established", "following"} {
		events = append(events, Event{Lamport: uint64(i), Kind: kind, Group: "g"})
	}
	list, err := LastPromotion(events, "g")
	if err != nil || len(list) != 5 || list[0].Lamport != 3 {
		t.Errorf("got %v, %v", list, err)
	}
	if _, err := LastPromotion(events, "h"); err == nil {
		t.Error("promotion of another group")
	}
	var b strings.Builder
	list[0].Fields = map[string]string{"x": "<&>"}
	if err := WriteSVG(&b, "<t>", list); err != nil || strings.Contains(b.String(), "<&>") || strings.Contains(b.String(), "<t>") {
		t.Error("text is not escaped")
	}
}
