package launcher

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/reporter"
)

// instrumentedAcquirer records the metrics of requests for server connections.
type instrumentedAcquirer struct {
	pooler.Acquirer
	metrics *reporter.Metrics
	clock   clockwork.Clock
}

// Acquire implements pooler.Acquirer.
func (m instrumentedAcquirer) Acquire(ctx context.Context, req pooler.Request) (pooler.Conn, error) {
	group := m.metrics.Group(req.Group)
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
		m.metrics.Caller(req.Caller).Acquired.Inc(1)
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

// instrumentedConfirmer records the duration and the failures of confirmations.
type instrumentedConfirmer struct {
	confirmer.Confirmer
	metrics *reporter.Metrics
	clock   clockwork.Clock
}

// Confirm implements confirmer.Confirmer.
func (m instrumentedConfirmer) Confirm(ctx context.Context, req confirmer.Request) (confirmer.Result, error) {
	group := m.metrics.Group(req.Group)
	begin := m.clock.Now()
	result, err := m.Confirmer.Confirm(ctx, req)
	group.Confirmation.Add(m.clock.Since(begin))
	if err != nil {
		group.ConfirmationsFailed.Inc(1)
	}
	return result, err
}

// maxReplicaAgeGroups bounds the database groups whose replicas have an age
// gauge.
const maxReplicaAgeGroups = 256

// listedGauges are gauges of things that come and go, such as replicas. A gauge is
// removed when its thing is not listed any more.
type listedGauges struct {
	mu     sync.Mutex
	gauges map[string]bool
}

// replace registers the given values and removes the other gauges.
func (a *listedGauges) replace(r metrics.Registry, values map[string]int64) {
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

// updateGauges sets the gauges that are computed when metrics are read.
func (i *Instance) updateGauges() {
	i.updateReplicaAges()
	i.updateKeyConnections()
}

// maxKeyGauges bounds the keys of teams whose connections have a gauge.
const maxKeyGauges = 1024

// updateKeyConnections sets the gauges of the connections of each team's keys in force
// and of keys that still have connections.
func (i *Instance) updateKeyConnections() {
	values := make(map[string]int64)
	set := func(team, key string, connections int64) {
		if len(values) < maxKeyGauges {
			values["team."+strings.ReplaceAll(team, ".", "_")+".key."+key+".connections"] = connections
		}
	}
	for _, t := range i.distributor.Catalog().Teams() {
		for _, key := range t.Fingerprints() {
			set(t.Name, key, 0)
		}
	}
	if g := i.runningGatekeeper(); g != nil {
		for team, keys := range g.KeyConnections() {
			for key, n := range keys {
				set(team, key, n)
			}
		}
	}
	i.keyConnections.replace(i.registry, values)
}

// updateReplicaAges sets the age gauges.
func (i *Instance) updateReplicaAges() {
	now := i.clock.Now()
	groups := i.distributor.Catalog().Groups()
	values := make(map[string]int64)
	for _, g := range groups[:min(len(groups), maxReplicaAgeGroups)] {
		view, ok := i.overseer.View(g.Name)
		if !ok {
			continue
		}
		for _, r := range view.Replicas {
			values["group."+g.Name+".replica."+r.Server+".age_ms"] = ageMilliseconds(r.Age(now))
		}
	}
	i.replicaAges.replace(i.registry, values)
}

// ageMilliseconds returns -1 for an age that is not known.
func ageMilliseconds(age time.Duration, known bool) int64 {
	if !known {
		return -1
	}
	return age.Milliseconds()
}

// callerMeter counts the connections and failed logins of callers.
type callerMeter struct{ metrics *reporter.Metrics }

// Opened implements gatekeeper.Meter.
func (m callerMeter) Opened(caller, group string) {
	m.metrics.Caller(caller).Connections.Inc(1)
	m.metrics.Group(group).Connections.Inc(1)
}

// Closed implements gatekeeper.Meter.
func (m callerMeter) Closed(caller, group string) {
	m.metrics.Caller(caller).Connections.Dec(1)
	m.metrics.Group(group).Connections.Dec(1)
}

// Refused implements gatekeeper.Meter.
func (m callerMeter) Refused(caller, state string) { m.metrics.CountLoginRefusal(caller, state) }
