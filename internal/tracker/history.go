package tracker

import (
	"sort"
	"time"
)

// maxSamples bounds the memory of one group to about 300 kB. It is enough for
// 16 s of probes sent every 2 ms. Older samples are thinned out, which only makes
// ages larger.
const maxSamples = 8192

// sample states that the primary's log ended at or before offset at the time at.
type sample struct {
	at     time.Time
	offset uint64
}

// history holds samples in ascending order of both fields.
type history struct {
	samples []sample
}

// add appends a sample. It ignores one that is older than the newest sample, or
// has a lower offset. Of samples with equal offsets it keeps the newest.
func (h *history) add(at time.Time, offset uint64) {
	n := len(h.samples)
	if n > 0 {
		last := &h.samples[n-1]
		if at.Before(last.at) || offset < last.offset {
			return
		}
		if offset == last.offset {
			last.at = at
			return
		}
	}
	h.samples = append(h.samples, sample{at, offset})
	if len(h.samples) > maxSamples {
		h.thin()
	}
}

// thin removes every second sample except the newest.
func (h *history) thin() {
	kept := h.samples[:0]
	for i, s := range h.samples {
		if i%2 == 1 || i == len(h.samples)-1 {
			kept = append(kept, s)
		}
	}
	h.samples = kept
}

// clip lowers all offsets to at most limit. It is called when a term is
// established that starts at limit: nothing past limit was confirmed in an
// earlier term.
func (h *history) clip(limit uint64) {
	i := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].offset >= limit })
	if i == len(h.samples) {
		return
	}
	last := h.samples[len(h.samples)-1]
	h.samples = append(h.samples[:i], sample{last.at, limit})
}

// freshAt returns the latest time at which the primary's log ended at or
// before offset, and the zero time when there is none.
func (h *history) freshAt(offset uint64) time.Time {
	i := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].offset > offset })
	if i == 0 {
		return time.Time{}
	}
	return h.samples[i-1].at
}
