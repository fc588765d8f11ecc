package pooler

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
)

// maintain applies new catalogs and the expiry of grants, closes connections
// that servers have closed, and keeps one connection open per server.
func (p *Pool) maintain() {
	ticker := p.cfg.Clock.NewTicker(maintainInterval)
	defer ticker.Stop()
	changed := p.cfg.Catalog.Changed()
	lastIdleCheck := p.cfg.Clock.Now()
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
		checkIdle := now.Sub(lastIdleCheck) >= idleCheckInterval
		if checkIdle {
			lastIdleCheck = now
		}
		for _, g := range p.allGroups() {
			g.maintain(now, checkIdle)
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

// applyCatalog updates groups and servers to the current catalog.
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
			g.hasGauges = p.hasRoomForGauges()
			p.groups[tracked.Name] = g
		}
		g.mu.Lock()
		g.applyCatalogEntry(entry)
		g.markLeaving(p.cfg.Clock.Now())
		g.mu.Unlock()
		if !ok {
			// A grant for a server that the group does not have yet would be lost.
			p.tasks.Go(g.requestGrants)
		}
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

// maxGaugedGroups is the largest number of database groups whose servers have
// gauges.
const maxGaugedGroups = 256

// hasRoomForGauges reports whether one more group may have gauges. The caller
// holds mu.
func (p *Pool) hasRoomForGauges() bool {
	reported := 0
	for _, g := range p.groups {
		if g.hasGauges {
			reported++
		}
	}
	return reported < maxGaugedGroups
}

// markLeaving records which servers are leaving according to the manifest, the
// platform's list or the server itself. The caller holds mu.
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

func (g *group) maintain(now time.Time, checkIdle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markLeaving(now)
	for _, b := range g.backends {
		if checkIdle {
			b.reap(now)
		}
		b.closeSurplusIdle(now)
		b.serveWaiters(now)
		b.keepWarm(now)
		if checkIdle {
			b.updateGauges(now)
		}
	}
}

// reap closes idle connections that the server has closed. It also closes those
// that were idle for longer than idleTimeout, except the most recently used.
func (b *backend) reap(now time.Time) {
	kept := b.idle[:0]
	for i, c := range b.idle {
		newest := i == len(b.idle)-1
		expired := now.Sub(c.idleSince) > idleTimeout && !newest
		if expired || !c.usable() {
			b.retire(c)
			continue
		}
		kept = append(kept, c)
	}
	clear(b.idle[len(kept):])
	b.idle = slices.Clip(kept)
}

// keepWarm opens a connection if there is none, so that the next request need
// not wait for one.
func (b *backend) keepWarm(now time.Time) {
	if !b.group.closed && b.open == 0 && b.occupied() < b.allowance(now) && b.leavingSince.IsZero() && !now.Before(b.retryAt) {
		b.startOpen()
	}
}

// gaugeNames are the gauges of each server.
var gaugeNames = []string{"open", "allowed", "in_use", "waiting", "opens", "open_failures", "refusals"}

func (b *backend) gaugeName(name string) string {
	return "pooler." + b.group.name + "." + b.name + "." + name
}

// unregisterGauges removes the gauges of a server that left the manifest.
func (b *backend) unregisterGauges() {
	for _, name := range gaugeNames {
		b.group.pool.cfg.Registry.Unregister(b.gaugeName(name))
	}
}

// updateGauges updates the gauges of the server.
func (b *backend) updateGauges(now time.Time) {
	if !b.group.hasGauges {
		return
	}
	gauge := func(name string, v int64) {
		metrics.GetOrRegisterGauge(b.gaugeName(name), b.group.pool.cfg.Registry).Update(v)
	}
	gauge("open", int64(b.open))
	gauge("allowed", int64(b.allowance(now)))
	gauge("in_use", int64(b.inUse()))
	gauge("waiting", int64(b.group.queue.countFor(b)))
	gauge("opens", b.opens)
	gauge("open_failures", b.openFailures)
	gauge("refusals", b.refusals)
}
