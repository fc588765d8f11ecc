package dispatcher

import (
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/placer"
)

// reconcile opens and closes pools as servers come and go.
func (d *Dispatcher) reconcile() {
	state := d.cfg.Informer.State()
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[string]bool{}
	for _, service := range state.Services() {
		for _, srv := range state.ServersOf(service) {
			listed[srv.ID] = true
			d.reconcileServer(state, srv)
		}
	}
	for id, b := range d.backends {
		if !listed[id] {
			b.Close()
			delete(d.backends, id)
		}
	}
}

func (d *Dispatcher) reconcileServer(state *informer.State, srv informer.Server) {
	b := d.backends[srv.ID]
	if b != nil && (b.server.Born != srv.Born || b.server.Address != srv.Address) {
		b.Close()
		b = nil
	}
	limit := d.share(state, srv)
	if b == nil {
		b = d.newBackend(srv, limit)
		d.backends[srv.ID] = b
		return
	}
	b.mu.Lock()
	b.server = srv
	b.mu.Unlock()
	b.SetLimit(limit)
	d.closeIdle(state, b)
}

// closeIdle closes connections that rest.
func (d *Dispatcher) closeIdle(state *informer.State, b *backend) {
	now := d.cfg.Clock.Now()
	near, far := d.cfg.Members(b.server.Zone)
	scarce := placer.IsScarce(d.connectionLimit(state, b.server.Service), near+far)
	b.mu.Lock()
	b.scarce = scarce
	b.mu.Unlock()
	if scarce {
		b.CloseIdle(now.Add(-scarceIdleLimit), 0)
		return
	}
	b.CloseIdle(now.Add(-idleLimit), keepOpen)
}

func (d *Dispatcher) newBackend(srv informer.Server, limit int) *backend {
	b := &backend{id: srv.ID, server: srv}
	b.Pool = linker.NewPool(linker.Config{
		Dialer: d.cfg.Dialer, Target: srv.Target(), Limit: limit, Clock: d.cfg.Clock,
		OnDial: func(err error, started time.Time) {
			now := d.cfg.Clock.Now()
			d.count.dials.Inc(1)
			b.observeDial(now, err)
			if err != nil {
				d.cfg.Log.WithError(err).WithFields(logrus.Fields{"server": srv.ID, "took": now.Sub(started).String()}).
					Debug("dispatcher: cannot connect to the backend server")
			}
		},
	})
	return b
}

// connectionLimit returns the limit of connections to one server of the service
// from all instances.
func (d *Dispatcher) connectionLimit(state *informer.State, service string) int {
	if state.HasConfiguration() {
		if s, ok := state.Configuration.Services[service]; ok && s.MaxConnections > 0 {
			return s.MaxConnections
		}
	}
	return defaultConnections
}

func (d *Dispatcher) share(state *informer.State, srv informer.Server) int {
	limit := d.connectionLimit(state, srv.Service)
	near, far := d.cfg.Members(srv.Zone)
	share := placer.Share(limit, near, far, srv.Zone == d.cfg.Zone)
	if d.cfg.Clock.Since(d.started) < lingerTime {
		return placer.StartShare(share)
	}
	return share
}

func (d *Dispatcher) backend(id string) *backend {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.backends[id]
}

// backendsOf returns the service's servers that may get new work.
func (d *Dispatcher) backendsOf(service string, now time.Time) []*backend {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []*backend
	for _, srv := range d.cfg.Informer.State().ServersOf(service) {
		if b := d.backends[srv.ID]; b != nil && d.accepts(srv, now) {
			out = append(out, b)
		}
	}
	return out
}

// accepts reports whether a server may get new work. A draining one gets it for
// a moment longer, in case it leads and hands over.
func (d *Dispatcher) accepts(srv informer.Server, now time.Time) bool {
	return srv.DrainingSince.IsZero() || now.Sub(srv.DrainingSince) < min(drainGrace, d.cfg.DrainLimit/2)
}

// drainGrace is how long a server that is seen to leave still gets new work.
// A change of primary takes about a second. It is counted from when this
// instance saw the sign, which may be some seconds old, and must end well
// before the servers' drain limit.
const drainGrace = 2 * time.Second
