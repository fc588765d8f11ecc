package distributor

import (
	"context"
	"maps"
	"slices"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/storer"
)

// reinstateLost writes the verified revisions back that are newer than those in the
// store, which was restored from a copy then. It must not fail the watch: a revision
// that is not written back now is so after the next read.
func (d *Distributor) reinstateLost(ctx context.Context, stored []storer.Entry) {
	d.mu.Lock()
	lost := d.set.newerThan(storedRevisions(stored))
	d.mu.Unlock()
	for _, e := range lost {
		done, err := approver.Reinstate(ctx, d.cfg.Store, e)
		log := d.cfg.Log.WithField("part", e.Part).WithField("revision", e.Revision)
		switch {
		case err != nil:
			log.WithError(err).Warn("distributor: revision that the store has lost could not be written back")
			return
		case done:
			d.cfg.Recorder.Record(component, "manifest_reinstated", "", "part", e.Part, "revision", e.Revision)
			log.Warn("distributor: store had lost a revision, which was written back")
		}
	}
}

// storedRevisions returns the revision of each part in the store. A value that cannot be
// decoded counts as none.
func storedRevisions(entries []storer.Entry) map[string]uint64 {
	revisions := map[string]uint64{}
	for _, entry := range entries {
		if e, err := approver.Decode(entry.Value); err == nil {
			revisions[e.Part] = max(revisions[e.Part], e.Revision)
		}
	}
	return revisions
}

// newerThan returns the verified envelopes with higher revisions than the given ones,
// owners revisions first and in ascending order.
func (s *envelopeSet) newerThan(revisions map[string]uint64) []approver.Envelope {
	var newer []approver.Envelope
	for _, encoded := range s.chain.Encoded() {
		if e, err := approver.Decode(encoded); err == nil && e.Revision > revisions[checker.OwnersPart] {
			newer = append(newer, e)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.parts)) {
		if e := s.parts[name].verified; e.revision() > revisions[name] {
			newer = append(newer, e.envelope)
		}
	}
	return newer
}
