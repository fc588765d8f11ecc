package distributor

import (
	"fmt"

	"marigoldhub.example/hub/internal/checker"
)

// Sources of envelopes, as events and log lines name them.
const (
	fromStore = "store"
	fromPeer  = "peer"
)

// accept applies the envelopes and reports the result.
func (d *Distributor) accept(envelopes []encodedEnvelope, source string) applyResult {
	d.mu.Lock()
	now := d.cfg.Clock.Now()
	out := d.set.apply(envelopes, now)
	if len(out.activated) > 0 {
		close(d.changed)
		d.changed = make(chan struct{})
	}
	d.mu.Unlock()
	d.reportActivations(out, source)
	d.reportProblems(out, source)
	return out
}

// reportActivations reports the owners revisions and parts that became active.
func (d *Distributor) reportActivations(out applyResult, source string) {
	for _, e := range out.verified {
		if e.envelope.IsOwners() {
			d.reportActivation(e, source)
		}
	}
	for _, e := range out.activated {
		d.reportActivation(e, source)
	}
}

// reportActivation reports one active revision. Its age counts from when any
// instance first received the envelope from the store.
func (d *Distributor) reportActivation(e *decodedEnvelope, source string) {
	d.counters.activations.Inc(1)
	age := d.cfg.Clock.Since(e.firstReceived).Milliseconds()
	d.cfg.Recorder.Record(component, "manifest_in_force", "",
		"part", e.envelope.Part, "revision", e.revision(), "hash", e.hash, "age_ms", age, "source", source)
	d.cfg.Log.WithField("part", e.envelope.Part).WithField("revision", e.revision()).
		Info("distributor: manifest part is in force")
}

// component names this package in events.
const component = "distributor"

func (d *Distributor) reportProblems(out applyResult, source string) {
	for _, err := range out.refused {
		d.counters.refused.Inc(1)
		d.cfg.Recorder.Record(component, "envelope_refused", "", "source", source, "reason", err)
		d.cfg.Log.WithError(err).WithField("source", source).Warn("distributor: envelope is not proven")
	}
	for _, e := range out.conflicts {
		d.counters.conflicts.Inc(1)
		d.cfg.Recorder.Record(component, "manifest_conflict", "",
			"source", source, "part", e.envelope.Part, "revision", e.revision(), "hash", e.hash)
		d.cfg.Log.WithField("part", e.envelope.Part).WithField("revision", e.revision()).
			Error("distributor: two proven envelopes have the same revision; the first stays in force")
	}
	for _, f := range out.unusable {
		d.counters.unusable.Inc(1)
		d.cfg.Recorder.Record(component, "manifest_out_of_force", "",
			"part", f.part, "revision", f.revision, "findings", f.findings.Error())
		d.cfg.Log.WithField("part", f.part).WithField("revision", f.revision).
			Error(fmt.Sprintf("distributor: manifest part is proven but not usable: %v", f.findings))
	}
}

// unusableRevision is a verified revision that did not become active.
type unusableRevision struct {
	part     string
	revision uint64
	findings checker.Findings
}
