package linker

// result is what a waiter gets: a link, or why there is none.
type result struct {
	link *Link
	err  error
}

// waiter is a request for a link. index is its place in the heap, -1 when it
// has been answered.
type waiter struct {
	priority int
	serial   uint64
	result   chan result
	index    int
}

// waiters is a heap by priority, then by arrival.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].serial < w[j].serial
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements [heap.Interface].
func (w *waiters) Push(x any) {
	e := x.(*waiter)
	e.index = len(*w)
	*w = append(*w, e)
}

// Pop implements [heap.Interface].
func (w *waiters) Pop() any {
	old := *w
	e := old[len(old)-1]
	e.index = -1
	*w = old[:len(old)-1]
	return e
}
