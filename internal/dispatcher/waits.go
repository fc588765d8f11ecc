package dispatcher

import (
	"time"

	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/surveyor"
)

const (
	// minReportedWait is the shortest wait that is reported. A shorter one is of the
	// order of the delay between zones, for which no read leaves its zone.
	minReportedWait = 3 * time.Millisecond
	// readPriority is the priority for which waits are reported, that of most reads.
	readPriority = 1
)

// Waits returns the waits at the busy servers whose work this instance schedules, and
// the positions of those that are replicas and behind.
func (d *Dispatcher) Waits() []surveyor.Report {
	now := d.cfg.Clock.Now()
	var out []surveyor.Report
	for _, b := range d.backends.Scheduled(now) {
		r := surveyor.Report{Server: b.ID}
		load := b.Load(connector.Request{Priority: readPriority, Due: now})
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
