package approver

import (
	"context"
	"maps"
	"slices"
	"strings"
)

// PartStatus is what the store holds about one part.
type PartStatus struct {
	Part string
	// InForce is the newest proven envelope, or nil.
	InForce *Envelope
	// Proposal is the open proposal, or nil.
	Proposal *Proposal
	// LastRevision is the newest number that was given out.
	LastRevision uint64
	// Faults says what in the store is malformed or not proven.
	Faults []error
}

// Status returns the status of all parts in ascending order of their names.
func (p *Proposals) Status(ctx context.Context) ([]PartStatus, error) {
	names := map[string]bool{ownersPart: true}
	for _, prefix := range []string{CurrentPrefix, proposalPrefix, counterPrefix} {
		entries, _, err := p.cfg.Store.List(ctx, prefix)
		if err != nil {
			return nil, err
		}
		for _, entry := range entries {
			names[partOf(entry.Key, prefix)] = true
		}
	}
	var list []PartStatus
	for _, name := range slices.Sorted(maps.Keys(names)) {
		s, err := p.load(ctx, name)
		if err != nil {
			return nil, err
		}
		list = append(list, s.status())
	}
	return list, nil
}

// InForce returns the newest proven envelope of a part, or nil.
func (p *Proposals) InForce(ctx context.Context, part string) (*Envelope, error) {
	s, err := p.load(ctx, part)
	if err != nil {
		return nil, err
	}
	return s.base, nil
}

func (s *state) status() PartStatus {
	status := PartStatus{Part: s.part, InForce: s.base, Proposal: s.proposal, LastRevision: s.counter.revision}
	for _, err := range []error{s.proposalErr, s.currentErr} {
		if err != nil {
			status.Faults = append(status.Faults, err)
		}
	}
	return status
}

// HistoryEntry is one stored revision. Fault is set when it is not proven.
type HistoryEntry struct {
	Envelope Envelope
	Fault    error
}

// History returns the stored revisions of a part in ascending order.
func (p *Proposals) History(ctx context.Context, part string) ([]HistoryEntry, error) {
	chain, err := p.loadChain(ctx)
	if err != nil {
		return nil, err
	}
	entries, _, err := p.cfg.Store.List(ctx, historyPrefix+part+"/")
	if err != nil {
		return nil, err
	}
	var list []HistoryEntry
	for _, entry := range entries {
		e, err := proveStored(chain, part, entry.Value)
		if err == nil && !strings.HasSuffix(entry.Key, historyKey(part, e.Revision)) {
			err = e.fault(ReasonEncoding, "stored under another revision")
		}
		list = append(list, HistoryEntry{Envelope: e, Fault: err})
	}
	return list, nil
}
