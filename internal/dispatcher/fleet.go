package dispatcher

import (
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/selector"
)

// reconcile opens and closes pools as servers are listed and removed, and updates
// their gateways and shares of connections.
func (d *Dispatcher) reconcile() {
	state := d.cfg.Informer.State()
	d.mu.Lock()
	defer d.mu.Unlock()
	peers := d.cfg.Instances()
	listed := map[string]bool{}
	for _, service := range state.Services() {
		ofService := map[string]bool{}
		for _, srv := range state.ServersOf(service) {
			ofService[srv.ID] = true
			listed[srv.ID] = true
			d.reconcileServer(state, srv, peers)
		}
		d.appraiser.Keep(service, ofService)
	}
	for id, b := range d.backends {
		if !listed[id] {
			d.keepHealth(b)
			b.Close()
			delete(d.backends, id)
		}
	}
	d.forgetUnlisted(listed)
	d.gateways.Keep(listed, d.rankings())
}

// rankings returns the rankings of all backends. The caller holds mu.
func (d *Dispatcher) rankings() []*selector.Ranking {
	out := make([]*selector.Ranking, 0, len(d.backends))
	for _, b := range d.backends {
		out = append(out, &b.Ranking)
	}
	return out
}

func (d *Dispatcher) reconcileServer(state *informer.State, srv informer.Server, peers []placer.Peer) {
	b := d.backends[srv.ID]
	if b != nil {
		if had := b.Entry(); had.Born != srv.Born || had.Address != srv.Address {
			b.Close()
			b = nil
		}
	}
	limit, gateways, rank := d.share(state, srv, peers)
	all := d.connectionLimit(state, srv.Service)
	limits := linker.Limits{Max: limit, Preferred: placer.PreferredConnections(all, limit)}
	isNew := b == nil
	if isNew {
		b = d.newBackend(srv, limits)
		d.backends[srv.ID] = b
	}
	b.SetEntry(srv)
	b.SetGateways(d.gateways.Gateways(gateways), rank)
	isShared := len(gateways) > 0 && rank < 0
	if isNew {
		return
	}
	d.recordUse(b)
	b.Resize(limits)
	if isShared {
		b.CloseIdle(d.cfg.Clock.Now().Add(-probeIdleTimeout), 0)
		return
	}
	now := d.cfg.Clock.Now()
	if rank > 0 || !state.HasConfiguration() || !state.Configuration.HasTeams() {
		b.CloseIdle(now.Add(-idleTimeout), minOpenConnections)
		return
	}
	b.CloseIdle(now.Add(-idleTimeout), limits.Preferred)
	b.CloseIdle(now.Add(-maxTeamIdleTime), minOpenConnections)
}

func (d *Dispatcher) newBackend(srv informer.Server, limits linker.Limits) *connector.Backend {
	return connector.New(connector.Config{
		Server: srv, Limits: limits, Dialer: d.cfg.Dialer, Clock: d.cfg.Clock,
		OnDial: func(dial linker.Dial) { d.recordDial(srv.ID, dial) },
	})
}

// recordDial counts and logs the outcome of an attempt to connect to the server.
func (d *Dispatcher) recordDial(server string, dial linker.Dial) {
	d.count.dials.Inc(1)
	if dial.Replaces {
		d.count.teamSwitches.Inc(1)
	}
	if dial.Err == nil {
		return
	}
	if dial.Replaces {
		d.count.teamSwitchesFailed.Inc(1)
	}
	d.cfg.Log.WithError(dial.Err).WithFields(logrus.Fields{
		"server": server, "team": dial.User, "replaces": dial.Replaces, "took": d.cfg.Clock.Since(dial.Started).String(),
	}).Debug("dispatcher: cannot connect to the backend server")
}

// connectionLimit returns how many connections all instances together may hold to
// one server of the service.
func (d *Dispatcher) connectionLimit(state *informer.State, service string) int {
	if state.HasConfiguration() {
		if s, ok := state.Configuration.Services[service]; ok && s.MaxConnections > 0 {
			return s.MaxConnections
		}
	}
	return defaultConnections
}

// share returns how many connections to the server this instance may hold, the
// server's gateways, and the rank of this instance among them.
func (d *Dispatcher) share(state *informer.State, srv informer.Server, peers []placer.Peer) (limit int, gateways []placer.Peer, rank int) {
	all := d.connectionLimit(state, srv.Service)
	if !d.cfg.InstancesKnown() {
		return max(all/assumedFleetSize, 1), nil, -1
	}
	limit, rank = all, -1
	if n := placer.GatewayCount(all, len(peers)); n > 0 {
		gateways, rank = d.gateways.Rank(srv, peers, n)
		limit = probeConnections
		if rank >= 0 {
			limit = placer.GatewayShare(all, len(gateways), rank)
		}
	}
	if d.cfg.Clock.Since(d.started) < serverLingerTime {
		limit = placer.StartupShare(limit)
	}
	return limit, gateways, rank
}

func (d *Dispatcher) backend(id string) *connector.Backend {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.backends[id]
}

// backendsOf returns the service's servers that accept new work.
func (d *Dispatcher) backendsOf(service string, now time.Time) []*connector.Backend {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []*connector.Backend
	for _, srv := range d.cfg.Informer.State().ServersOf(service) {
		if b := d.backends[srv.ID]; b != nil && d.acceptsNewWork(srv, now) {
			out = append(out, b)
		}
	}
	return out
}

// acceptsNewWork reports whether a server may get new work. A draining one gets it
// for a short time, in case it is the primary and a switchover follows.
func (d *Dispatcher) acceptsNewWork(srv informer.Server, now time.Time) bool {
	return srv.DrainingSince.IsZero() || now.Sub(srv.DrainingSince) < min(drainGrace, d.cfg.DrainLimit/2)
}

// drainGrace is how long a server that is seen to drain still gets new work. A
// switchover takes about a second. The time counts from when this instance saw the
// server draining, which may be some seconds after the server began, and it must
// end well before the servers' drain limit.
const drainGrace = 2 * time.Second
