package distributor

import (
	"cmp"
	"slices"
	"time"

	"marigoldhub.example/hub/internal/checker"
)

// PartReport tells which revision of a part is active.
type PartReport struct {
	Part string `json:"part"`
	// Revision is the active revision, Hash its hash, and Since when it became
	// active at this instance.
	Revision uint64    `json:"revision"`
	Hash     string    `json:"hash"`
	Since    time.Time `json:"since"`
	// NewestVerified is the newest verified revision. It differs from Revision
	// if its content is not valid; Findings say why.
	NewestVerified uint64   `json:"newest_proven"`
	Findings       []string `json:"findings,omitempty"`
}

// Ready reports whether the owners chain and a part are active and the initial
// sync is complete. The reason is empty if so.
func (d *Distributor) Ready() (ready bool, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.set.chain.HeadRevision() == 0:
		return false, "no proven owners revision was received from the store or a peer"
	case !d.set.hasActivePart():
		return false, "no proven manifest part was received from the store or a peer"
	case !d.synced:
		return false, "the first synchronisation with the store or a peer is not complete"
	}
	return true, ""
}

func (s *envelopeSet) hasActivePart() bool {
	for _, p := range s.parts {
		if p.active != nil {
			return true
		}
	}
	return false
}

// Stale reports whether neither the store nor a peer was in contact within
// Config.StaleAfter.
func (d *Distributor) Stale() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg.Clock.Since(d.lastContact) >= d.cfg.StaleAfter
}

// Parts returns the parts in ascending order of their names, the part
// "owners" included. A part without an active revision has revision 0.
func (d *Distributor) Parts() []PartReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []PartReport
	if head := d.set.chain.HeadRevision(); head > 0 {
		list = append(list, PartReport{
			Part: checker.OwnersPart, Revision: head, Hash: d.set.chain.HeadHash().String(),
			Since: d.set.ownersActiveSince[head], NewestVerified: head,
		})
	}
	for _, p := range d.set.parts {
		list = append(list, p.report())
	}
	slices.SortFunc(list, func(a, b PartReport) int { return cmp.Compare(a.Part, b.Part) })
	return list
}

func (p *partState) report() PartReport {
	r := PartReport{Part: p.name, NewestVerified: p.verified.revision()}
	if p.active != nil {
		r.Revision, r.Hash, r.Since = p.active.revision(), p.active.hash.String(), p.activeSince
	}
	for _, f := range p.findings {
		r.Findings = append(r.Findings, f.String())
	}
	return r
}
