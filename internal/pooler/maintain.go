package pooler

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
)

// maintain applies catalogs and grants that expire, notices connections that
// servers closed, and keeps one warm connection per server.
func (p *Pool) maintain() {
	ticker := p.cfg.Clock.NewTicker(maintainInterval)
	defer ticker.Stop()
	changed := p.cfg.Catalog.Changed()
	peeked := p.cfg.Clock.Now()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-changed:
			changed = p.cfg.Catalog.Changed()
			p.applyCatalog()
		case <-ticker.Chan():
		}
		now := p.cfg.Clock.Now()
		peek := now.Sub(peeked) >= peekInterval
		if peek {
			peeked = now
		}
		for _, g := range p.allGroups() {
			g.maintain(now, peek)
		}
	}
}

func (p *Pool) allGroups() []*group {
	p.mu.RLock()
	defer p.mu.RUnlock()
	groups := make([]*group, 0, len(p.groups))
	for _, g := range p.groups {
		groups = append(groups, g)
	}
	return groups
}

// applyCatalog brings groups and servers in line with the catalog in force.
func (p *Pool) applyCatalog() {
	catalog := p.cfg.Catalog.Catalog()
	named := make(map[string]bool)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, tracked := range catalog.Groups() {
		entry, ok := catalog.Group(tracked.Name)
		if !ok {
			continue
		}
		named[tracked.Name] = true
		g, ok := p.groups[tracked.Name]
		if !ok {
			g = newGroup(p, tracked.Name)
			p.groups[tracked.Name] = g
			p.tasks.Go(g.requestGrants)
		}
		g.mu.Lock()
		g.apply(entry)
		g.markLeaving(p.cfg.Clock.Now())
		g.mu.Unlock()
	}
	for name, g := range p.groups {
		if named[name] {
			continue
		}
		g.mu.Lock()
		for _, b := range g.backends {
			g.removeBackend(b)
		}
		g.mu.Unlock()
		close(g.stop)
		delete(p.groups, name)
	}
}

// markLeaving takes the leaving signs of the manifest, the platform's list and
// the server itself. The caller holds mu.
func (g *group) markLeaving(now time.Time) {
	catalog := g.pool.cfg.Catalog.Catalog()
	view, _ := g.pool.cfg.Views.View(g.name)
	for _, b := range g.backends {
		replica, _ := view.Replica(b.name)
		leaving := replica.Leaving || catalog.IsDrained(g.name, b.name) || g.pool.cfg.ServerLeaving(b.name)
		switch {
		case !leaving:
			b.leavingSince = time.Time{}
		case b.leavingSince.IsZero():
			b.leavingSince = now
			g.pool.cfg.Recorder.Record("pooler", "server_leaving", g.name, "server", b.name)
		}
	}
}

func (g *group) maintain(now time.Time, peek bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markLeaving(now)
	for _, b := range g.backends {
		if peek {
			b.reap(now)
		}
		b.shrink(now)
		b.serve(now)
		b.warm(now)
		if peek {
			b.report(now)
		}
	}
}

// reap closes idle connections that the server closed and those that are idle
// for long, but one.
func (b *backend) reap(now time.Time) {
	kept := b.idle[:0]
	for i, c := range b.idle {
		newest := i == len(b.idle)-1
		expired := now.Sub(c.since) > idleTimeout && !newest
		if expired || !c.usable() {
			b.forget(c)
			continue
		}
		kept = append(kept, c)
	}
	clear(b.idle[len(kept):])
	b.idle = slices.Clip(kept)
}

// warm keeps one connection open, so that a first request does not wait for
// one.
func (b *backend) warm(now time.Time) {
	if !b.group.closed && b.open == 0 && b.occupied() < b.allowance(now) && b.leavingSince.IsZero() && !now.Before(b.retryAt) {
		b.startOpen()
	}
}

func (b *backend) report(now time.Time) {
	prefix := "pooler." + b.group.name + "." + b.name + "."
	gauge := func(name string, v int64) {
		metrics.GetOrRegisterGauge(prefix+name, b.group.pool.cfg.Registry).Update(v)
	}
	gauge("open", int64(b.open))
	gauge("allowed", int64(b.allowance(now)))
	gauge("in_use", int64(b.inUse()))
	gauge("waiting", int64(b.group.queue.countFor(b)))
	gauge("opens", b.opens)
	gauge("open_failures", b.openFailures)
	gauge("refusals", b.refusals)
}
