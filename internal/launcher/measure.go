package launcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/reporter"
)

// measuredAcquirer counts requests for server connections.
type measuredAcquirer struct {
	pooler.Acquirer
	figures *reporter.Metrics
	clock   clockwork.Clock
}

// Acquire implements pooler.Acquirer.
func (m measuredAcquirer) Acquire(ctx context.Context, req pooler.Request) (pooler.Conn, error) {
	group := m.figures.Group(req.Group)
	begin := m.clock.Now()
	group.Waiting.Inc(1)
	conn, err := m.Acquirer.Acquire(ctx, req)
	group.Waiting.Dec(1)
	group.ConnectionWait.Add(m.clock.Since(begin))
	if err != nil {
		group.CountRefusal(refusalReason(err))
		return nil, err
	}
	group.Acquired.Inc(1)
	if req.Caller != "" {
		m.figures.Caller(req.Caller).Acquired.Inc(1)
	}
	return conn, nil
}

func refusalReason(err error) string {
	var refused *pooler.RefusedError
	if errors.As(err, &refused) {
		return string(refused.Reason)
	}
	return "error"
}

// measuredConfirmer measures confirmations.
type measuredConfirmer struct {
	confirmer.Confirmer
	figures *reporter.Metrics
	clock   clockwork.Clock
}

// Confirm implements confirmer.Confirmer.
func (m measuredConfirmer) Confirm(ctx context.Context, req confirmer.Request) (confirmer.Result, error) {
	group := m.figures.Group(req.Group)
	begin := m.clock.Now()
	result, err := m.Confirmer.Confirm(ctx, req)
	group.Confirmation.Add(m.clock.Since(begin))
	if err != nil {
		group.ConfirmationsFailed.Inc(1)
	}
	return result, err
}

// maxAgeGroups bounds the database groups whose replicas have an age figure.
const maxAgeGroups = 256

// ages are the gauges of replicas' ages. A gauge disappears when its server is
// no longer a replica.
type ages struct {
	mu     sync.Mutex
	gauges map[string]bool
}

// replace registers the given values and removes the other gauges.
func (a *ages) replace(r metrics.Registry, values map[string]int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.gauges {
		if _, ok := values[name]; !ok {
			r.Unregister(name)
		}
	}
	a.gauges = make(map[string]bool, len(values))
	for name, v := range values {
		a.gauges[name] = true
		metrics.GetOrRegisterGauge(name, r).Update(v)
	}
}

// updateAges sets the figures that are computed when metrics are read.
func (i *Instance) updateAges() {
	now := i.clock.Now()
	groups := i.distributor.Catalog().Groups()
	values := make(map[string]int64)
	for _, g := range groups[:min(len(groups), maxAgeGroups)] {
		view, ok := i.overseer.View(g.Name)
		if !ok {
			continue
		}
		for _, r := range view.Replicas {
			values["group."+g.Name+".replica."+r.Server+".age_ms"] = milliseconds(r.Age(now))
		}
	}
	i.ages.replace(i.registry, values)
}

// milliseconds returns -1 for an age that is not known.
func milliseconds(age time.Duration, known bool) int64 {
	if !known {
		return -1
	}
	return age.Milliseconds()
}

// callerMeter counts callers at the door.
type callerMeter struct{ figures *reporter.Metrics }

// Opened implements gatekeeper.Meter.
func (m callerMeter) Opened(caller, group string) {
	m.figures.Caller(caller).Connections.Inc(1)
	m.figures.Group(group).Connections.Inc(1)
}

// Closed implements gatekeeper.Meter.
func (m callerMeter) Closed(caller, group string) {
	m.figures.Caller(caller).Connections.Dec(1)
	m.figures.Group(group).Connections.Dec(1)
}

// Refused implements gatekeeper.Meter.
func (m callerMeter) Refused(caller, state string) { m.figures.CountLoginRefusal(caller, state) }
