package distributor

import (
	"fmt"

	"marigoldhub.example/hub/internal/checker"
)

// Sources of envelopes.
const (
	fromStore = "store"
	fromPeer  = "peer"
)

// accept takes in what is proven and newer, and reports it.
func (d *Distributor) accept(offers []offer, source string) outcome {
	d.mu.Lock()
	now := d.cfg.Clock.Now()
	out := d.set.apply(offers, now)
	if len(out.enforced) > 0 {
		close(d.changed)
		d.changed = make(chan struct{})
	}
	d.mu.Unlock()
	d.reportProven(out, source)
	d.reportFaults(out, source)
	return out
}

// reportProven records what came into force. The age counts from when any
// instance first received the envelope from the store.
func (d *Distributor) reportProven(out outcome, source string) {
	for _, h := range out.proven {
		if h.envelope.IsOwners() {
			d.recordInForce(h, source)
		}
	}
	for _, h := range out.enforced {
		d.recordInForce(h, source)
	}
}

func (d *Distributor) recordInForce(h *held, source string) {
	d.counters.inForce.Inc(1)
	age := d.cfg.Clock.Since(h.born).Milliseconds()
	d.cfg.Recorder.Record(component, "manifest_in_force", "",
		"part", h.envelope.Part, "revision", h.revision(), "hash", h.hash, "age_ms", age, "source", source)
	d.cfg.Log.WithField("part", h.envelope.Part).WithField("revision", h.revision()).
		Info("distributor: manifest part is in force")
}

const component = "distributor"

func (d *Distributor) reportFaults(out outcome, source string) {
	for _, err := range out.refused {
		d.counters.refused.Inc(1)
		d.cfg.Recorder.Record(component, "envelope_refused", "", "source", source, "reason", err)
		d.cfg.Log.WithError(err).WithField("source", source).Warn("distributor: envelope is not proven")
	}
	for _, h := range out.conflicts {
		d.counters.conflicts.Inc(1)
		d.cfg.Recorder.Record(component, "manifest_conflict", "",
			"source", source, "part", h.envelope.Part, "revision", h.revision(), "hash", h.hash)
		d.cfg.Log.WithField("part", h.envelope.Part).WithField("revision", h.revision()).
			Error("distributor: two proven envelopes have the same revision; the first stays in force")
	}
	for _, f := range out.outOfForce {
		d.counters.outOfForce.Inc(1)
		d.cfg.Recorder.Record(component, "manifest_out_of_force", "",
			"part", f.part, "revision", f.revision, "findings", f.findings.Error())
		d.cfg.Log.WithField("part", f.part).WithField("revision", f.revision).
			Error(fmt.Sprintf("distributor: manifest part is proven but not usable: %v", f.findings))
	}
}

// unusable is a proven envelope that did not come into force.
type unusable struct {
	part     string
	revision uint64
	findings checker.Findings
}
