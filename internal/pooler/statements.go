package pooler

import (
	"cmp"
	"slices"
)

// statements are the prepared statements of one connection, with a counter value
// that orders them by last use.
type statements struct {
	used map[string]uint64
	now  uint64
}

func (s *statements) add(name string) {
	if s.used == nil {
		s.used = make(map[string]uint64)
	}
	s.now++
	s.used[name] = s.now
}

// use reports whether the statement exists and marks it as recently used.
func (s *statements) use(name string) bool {
	if _, ok := s.used[name]; !ok {
		return false
	}
	s.add(name)
	return true
}

func (s *statements) remove(name string) { delete(s.used, name) }

func (s *statements) len() int { return len(s.used) }

// oldest returns all names except the keep most recently used ones.
func (s *statements) oldest(keep int) []string {
	names := make([]string, 0, len(s.used))
	for name := range s.used {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(s.used[a], s.used[b]) })
	return names[:max(len(names)-keep, 0)]
}
