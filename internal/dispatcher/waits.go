package dispatcher

import (
	"cmp"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/surveyor"
)

const (
	// minReportedWait is the shortest wait that is reported. A shorter one is of the
	// order of the delay between zones, for which no read leaves its zone.
	minReportedWait = 3 * time.Millisecond
	// readPriority is the priority for which waits are reported, that of most reads.
	readPriority = 1
	// assumedObjective is the objective of the reads of a service while no route to it is
	// known.
	assumedObjective = 500 * time.Millisecond
)

// Waits returns the waits at the busy servers whose work this instance schedules, and
// the positions of those that are replicas and behind.
func (d *Dispatcher) Waits() []surveyor.Report {
	now := d.cfg.Clock.Now()
	objectives := sync.OnceValue(d.readObjectives)
	var out []surveyor.Report
	for _, b := range d.scheduledBackends(now) {
		r := surveyor.Report{Server: b.id}
		load := b.load(connRequest{priority: readPriority, due: now})
		if load.Running >= load.Slots {
			// A request that is due now could not be answered in time, and would wait behind
			// all that can.
			objective := cmp.Or(objectives()[b.Target().Service], assumedObjective)
			load = b.load(connRequest{priority: readPriority, due: now.Add(objective)})
		}
		// Connections are opened when they are needed; only the slots are scarce.
		load.Idle = max(load.Idle, 1)
		if wait := load.Wait(); wait >= minReportedWait {
			r.Wait = wait
		}
		if p, ok := d.progressBehind(b, now); ok && now.Sub(p.At) <= maxPositionAge {
			r.Position, r.PositionAge = p.Position, now.Sub(p.At)
		}
		if r.Wait > 0 || !r.Position.IsZero() {
			out = append(out, r)
		}
	}
	return out
}

// readObjectives returns, for each service, the shortest objective of the reads that any of
// its servers may run. Reads with a longer one wait longer than reported; the gateway of the
// server decides about them when they arrive.
func (d *Dispatcher) readObjectives() map[string]time.Duration {
	out := map[string]time.Duration{}
	if c := d.cfg.Informer.State().Configuration; c != nil {
		for _, r := range c.Routes {
			if known, ok := out[r.Service]; r.Reads != informer.PrimaryReads && (!ok || r.Objective < known) {
				out[r.Service] = r.Objective
			}
		}
	}
	return out
}

// scheduledBackends returns the servers whose work this instance schedules as their first
// gateway. Standby gateways know nothing of the queue at the one that does.
func (d *Dispatcher) scheduledBackends(now time.Time) []*backend {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []*backend
	for _, b := range d.backends {
		if g := b.chooseGateway(now, nil); g != nil && g.isSelf {
			out = append(out, b)
		}
	}
	return out
}

// zone returns the availability zone of the server.
func (b *backend) zone() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server.Zone
}

// countZoneTraffic counts a request to a gateway or server of another zone, with the
// bytes of its statements.
func (d *Dispatcher) countZoneTraffic(zone string, r forwarder.Request) {
	if zone == d.cfg.Zone {
		return
	}
	d.count.requestsOtherZone.Inc(1)
	for _, s := range r.Statements {
		d.count.bytesOtherZone.Inc(int64(len(s.Text) + len(s.Arguments) + len(s.Template)))
	}
}
