package link

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
)

// Usage counts the traffic of one sender over one link since the start. Bytes
// that a cut swallowed are included.
type Usage struct {
	Link        string `json:"link"`
	Source      string `json:"source"`
	ToTarget    int64  `json:"to_target"`
	ToSource    int64  `json:"to_source"`
	Connections int64  `json:"connections"`
}

type usageKey struct {
	link   string
	source netip.Addr
}

type meter struct {
	bytes       [2]atomic.Int64
	connections atomic.Int64
}

// usage holds the meters of a relay.
type usage struct {
	mu     sync.Mutex
	meters map[usageKey]*meter
}

func (u *usage) meter(link string, source netip.Addr) *meter {
	u.mu.Lock()
	defer u.mu.Unlock()
	k := usageKey{link, source}
	m := u.meters[k]
	if m == nil {
		m = &meter{}
		u.meters[k] = m
	}
	return m
}

func (u *usage) list() []Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := []Usage{}
	for k, m := range u.meters {
		list = append(list, Usage{
			Link: k.link, Source: k.source.String(), Connections: m.connections.Load(),
			ToTarget: m.bytes[toTarget].Load(), ToSource: m.bytes[toSource].Load(),
		})
	}
	slices.SortFunc(list, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Link, b.Link), cmp.Compare(a.Source, b.Source))
	})
	return list
}
