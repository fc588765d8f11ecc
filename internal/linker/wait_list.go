package linker

import "slices"

// waitList holds waiters, the most urgent first. Those of equal priority are in the
// order of their arrival. Each waiter of a gateway holds a slot of the server, so the
// list is short.
type waitList []*waiter

// add puts the waiter behind all that are as urgent.
func (l *waitList) add(w *waiter) {
	i := len(*l)
	for i > 0 && w.Priority < (*l)[i-1].Priority {
		i--
	}
	*l = slices.Insert(*l, i, w)
}

// remove removes the waiter and reports whether it was in the list.
func (l *waitList) remove(w *waiter) bool {
	i := slices.Index(*l, w)
	if i >= 0 {
		*l = slices.Delete(*l, i, i+1)
	}
	return i >= 0
}

// withoutDial returns the indices of the waiters that no handshake in flight will
// serve: the n handshakes of a user serve its n most urgent waiters.
func (l waitList) withoutDial(opening map[string]int) []int {
	var out []int
	seen := make(map[string]int, len(l))
	for i, w := range l {
		if seen[w.User]++; seen[w.User] > opening[w.User] {
			out = append(out, i)
		}
	}
	return out
}
