package distributor

import (
	"cmp"
	"slices"
	"time"

	"marigoldhub.example/hub/internal/checker"
)

// PartReport is the revision in force of one part.
type PartReport struct {
	Part     string    `json:"part"`
	Revision uint64    `json:"revision"`
	Hash     string    `json:"hash"`
	Since    time.Time `json:"since"`
	// NewestProven is the newest proven revision. It differs from Revision
	// when its content is not usable; Findings say why.
	NewestProven uint64   `json:"newest_proven"`
	Findings     []string `json:"findings,omitempty"`
}

// Ready reports whether a proven configuration is in force. The reason is
// empty when it is.
func (d *Distributor) Ready() (ready bool, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.set.chain.HeadRevision() == 0:
		return false, "no proven owners revision was received from the store or a peer"
	case !d.set.hasPartInForce():
		return false, "no proven manifest part was received from the store or a peer"
	case !d.synced:
		return false, "the first synchronisation with the store or a peer is not complete"
	}
	return true, ""
}

func (s *set) hasPartInForce() bool {
	for _, p := range s.parts {
		if p.inForce != nil {
			return true
		}
	}
	return false
}

// Stale reports whether neither the store nor a peer was heard from within
// Config.StaleAfter.
func (d *Distributor) Stale() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg.Clock.Since(d.heard) >= d.cfg.StaleAfter
}

// Parts returns the parts in ascending order of their names, the part
// "owners" included. A part that is proven but not in force has revision 0.
func (d *Distributor) Parts() []PartReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []PartReport
	if head := d.set.chain.HeadRevision(); head > 0 {
		list = append(list, PartReport{
			Part: checker.OwnersPart, Revision: head, Hash: d.set.chain.HeadHash().String(),
			Since: d.set.since[head], NewestProven: head,
		})
	}
	for _, p := range d.set.parts {
		list = append(list, p.report())
	}
	slices.SortFunc(list, func(a, b PartReport) int { return cmp.Compare(a.Part, b.Part) })
	return list
}

func (p *part) report() PartReport {
	r := PartReport{Part: p.name, NewestProven: p.proven.revision()}
	if p.inForce != nil {
		r.Revision, r.Hash, r.Since = p.inForce.revision(), p.inForce.hash.String(), p.since
	}
	for _, f := range p.findings {
		r.Findings = append(r.Findings, f.String())
	}
	return r
}
