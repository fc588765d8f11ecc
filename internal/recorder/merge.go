package recorder

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Merge returns the events of several processes in one order: by Lamport time,
// then by wall time, then by instance. An event that occurs in several lists is
// kept once.
func Merge(lists ...[]Event) []Event {
	type identity struct {
		instance string
		lamport  uint64
		wall     int64
		kind     string
	}
	seen := map[identity]bool{}
	var merged []Event
	for _, e := range slices.Concat(lists...) {
		id := identity{e.Instance, e.Lamport, e.Wall.UnixNano(), e.Kind}
		if !seen[id] {
			seen[id] = true
			merged = append(merged, e)
		}
	}
	slices.SortStableFunc(merged, Event.compare)
	return merged
}

func (e Event) compare(f Event) int {
	return cmp.Or(cmp.Compare(e.Lamport, f.Lamport), e.Wall.Compare(f.Wall), cmp.Compare(e.Instance, f.Instance))
}

// OfGroup returns the events of one database group.
func OfGroup(events []Event, group string) []Event {
	var list []Event
	for _, e := range events {
		if e.Group == group {
			list = append(list, e)
		}
	}
	return list
}

const wallFormat = "15:04:05.000000"

// WriteText writes one line per event, with wall times in UTC.
func WriteText(w io.Writer, events []Event) error {
	for _, e := range events {
		_, err := fmt.Fprintf(w, "%8d %s %-20s %-12s %s%s\n",
			e.Lamport, e.Wall.UTC().Format(wallFormat), e.Instance, e.Component, e.Kind, e.details())
		if err != nil {
			return err
		}
	}
	return nil
}

// details returns the group and the fields in ascending order of their names.
func (e Event) details() string {
	var b strings.Builder
	if e.Group != "" {
		fmt.Fprintf(&b, " group=%s", e.Group)
	}
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		fmt.Fprintf(&b, " %s=%s", name, e.Fields[name])
	}
	return b.String()
}
