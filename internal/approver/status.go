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
	// Active is the newest verified envelope, or nil.
	Active *Envelope
	// Proposal is the open proposal, or nil.
	Proposal *Proposal
	// LastRevision is the newest revision number that was given out.
	LastRevision uint64
	// Errors says which stored values are malformed or do not verify.
	Errors []error
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
			names[partName(entry.Key, prefix)] = true
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

// Active returns the newest verified envelope of a part, or nil.
func (p *Proposals) Active(ctx context.Context, part string) (*Envelope, error) {
	s, err := p.load(ctx, part)
	if err != nil {
		return nil, err
	}
	return s.active, nil
}

func (s *state) status() PartStatus {
	status := PartStatus{Part: s.part, Active: s.active, Proposal: s.proposal, LastRevision: s.counter.revision}
	for _, err := range []error{s.proposalErr, s.currentErr} {
		if err != nil {
			status.Errors = append(status.Errors, err)
		}
	}
	return status
}

// HistoryEntry is one stored revision. Err is set when it does not verify.
type HistoryEntry struct {
	Envelope Envelope
	Err      error
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
		e, err := verifyStored(chain, part, entry.Value)
		if err == nil && !strings.HasSuffix(entry.Key, historyKey(part, e.Revision)) {
			err = e.verifyError(ReasonEncoding, "stored under another revision")
		}
		list = append(list, HistoryEntry{Envelope: e, Err: err})
	}
	return list, nil
}
