package router

// filter returns the elements that satisfy every predicate.
func filter[T any](all []T, keep ...func(T) bool) []T {
	var kept []T
next:
	for _, v := range all {
		for _, k := range keep {
			if !k(v) {
				continue next
			}
		}
		kept = append(kept, v)
	}
	return kept
}

// prefer returns the elements that satisfy the predicate, or all of them when
// none does.
func prefer[T any](all []T, want func(T) bool) []T {
	if kept := filter(all, want); len(kept) > 0 {
		return kept
	}
	return all
}

// minBy returns the element with the lowest cost, and the first one if several
// have the same cost. It returns false if there is no element.
func minBy[T any](all []T, cost func(T) int) (T, bool) {
	var best T
	if len(all) == 0 {
		return best, false
	}
	best, low := all[0], cost(all[0])
	for _, v := range all[1:] {
		if c := cost(v); c < low {
			best, low = v, c
		}
	}
	return best, true
}
