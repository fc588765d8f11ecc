package queuer_test

import (
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"marigoldhub.example/hub/internal/queuer"
)

type item struct{ key, serial int }

// Guards against a waiter that is overtaken by an equal one that came later, and
// against one that is served after its removal.
func TestOrder(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("by key, then by arrival", prop.ForAll(func(keys []int, leave int) bool {
		q := queuer.New(func(a, b item) bool { return a.key < b.key })
		var want []item
		var all []*queuer.Entry[item]
		for i, k := range keys {
			v := item{k, i}
			all = append(all, q.Push(v))
			want = append(want, v)
		}
		if len(keys) > 0 {
			i := leave % len(keys)
			if !q.Remove(all[i]) || q.Remove(all[i]) {
				return false
			}
			want = slices.Delete(want, i, i+1)
		}
		slices.SortStableFunc(want, func(a, b item) int { return a.key - b.key })
		var got []item
		for v, ok := q.Pop(); ok; v, ok = q.Pop() {
			got = append(got, v)
		}
		return slices.Equal(got, want)
	}, gen.SliceOf(gen.IntRange(0, 5)), gen.IntRange(0, 1000)))
	properties.TestingRun(t)
}

func TestCountBefore(t *testing.T) {
	q := queuer.New(func(a, b int) bool { return a < b })
	for _, n := range []int{1, 2, 2, 5} {
		q.Push(n)
	}
	for _, tc := range []struct{ value, want int }{{0, 0}, {1, 1}, {2, 3}, {4, 3}, {9, 4}} {
		if got := q.CountBefore(tc.value); got != tc.want {
			t.Errorf("%d before %d, want %d", got, tc.value, tc.want)
		}
	}
}
