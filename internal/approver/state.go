package approver

import (
	"context"
	"fmt"

	"marigoldhub.example/hub/internal/storer"
)

// state is what the store holds about a part. It is read with several requests
// and may be inconsistent; every transaction compares the store revisions that
// it relies on.
type state struct {
	part    string
	chain   *Chain
	counter revisionCounter
	// proposal is nil when none is open; proposalErr is set when the stored
	// value is malformed.
	proposal    *Proposal
	proposalErr error
	// active is the newest verified envelope, or nil.
	active *Envelope
	// currentErr is set when the value stored as current does not verify.
	currentErr error

	// Store revisions at which the keys were last written; 0 for an absent key.
	counterMod, proposalMod, currentMod int64
}

func (p *Proposals) load(ctx context.Context, part string) (*state, error) {
	s := &state{part: part}
	var err error
	if s.chain, err = p.loadChain(ctx); err != nil {
		return nil, err
	}
	for _, step := range []func(context.Context, *state) error{p.loadCounter, p.loadProposal, p.loadActive} {
		if err := step(ctx, s); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// loadChain returns the verified owners revisions. A value that does not extend
// the chain is ignored, so that a forged one does not block the operators.
func (p *Proposals) loadChain(ctx context.Context) (*Chain, error) {
	entries, _, err := p.cfg.Store.List(ctx, OwnersHistoryPrefix)
	if err != nil {
		return nil, err
	}
	chain := p.genesis
	for _, entry := range entries {
		e, err := Decode(entry.Value)
		if err != nil {
			continue
		}
		if longer, err := chain.Extend(e); err == nil {
			chain = longer
		}
	}
	return chain, nil
}

func (p *Proposals) loadCounter(ctx context.Context, s *state) error {
	entry, ok, err := p.cfg.Store.Get(ctx, counterKey(s.part))
	if err != nil || !ok {
		return err
	}
	s.counterMod = entry.ModRevision
	s.counter, err = decodeRevisionCounter(entry.Value)
	return err
}

func (p *Proposals) loadProposal(ctx context.Context, s *state) error {
	entry, ok, err := p.cfg.Store.Get(ctx, proposalKey(s.part))
	if err != nil || !ok {
		return err
	}
	s.setProposal(entry)
	return nil
}

func (s *state) setProposal(entry storer.Entry) {
	s.proposalMod = entry.ModRevision
	proposal, err := decodeProposal(entry.Value)
	if err == nil && proposal.Envelope.Part != s.part {
		err = fmt.Errorf("proposal is for part %q", proposal.Envelope.Part)
	}
	if err != nil {
		s.proposalErr = err
		return
	}
	s.proposal = &proposal
}

// loadActive reads the active envelope. When the current value does not verify,
// the newest verified envelope of the history takes its place.
func (p *Proposals) loadActive(ctx context.Context, s *state) error {
	entry, ok, err := p.cfg.Store.Get(ctx, currentKey(s.part))
	if err != nil || !ok {
		return err
	}
	s.currentMod = entry.ModRevision
	e, err := s.verify(entry.Value)
	if err == nil {
		s.active = &e
		return nil
	}
	s.currentErr = err
	entries, _, err := p.cfg.Store.List(ctx, historyPrefix+s.part+"/")
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if e, err := s.verify(entry.Value); err == nil {
			s.active = &e
		}
	}
	return nil
}

// verify decodes a stored envelope of the part and verifies it.
func (s *state) verify(data []byte) (Envelope, error) {
	return verifyStored(s.chain, s.part, data)
}

func verifyStored(chain *Chain, part string, data []byte) (Envelope, error) {
	e, err := Decode(data)
	if err != nil {
		return e, err
	}
	if e.Part != part {
		return e, e.verifyError(ReasonEncoding, fmt.Sprintf("stored under part %q", part))
	}
	if !e.IsOwners() {
		return e, chain.Verify(e)
	}
	if known, ok := chain.Find(e.Revision); !ok || known.Hash() != e.Hash() {
		return e, e.verifyError(ReasonPredecessor, "not part of the owners chain")
	}
	return e, nil
}

// nextRevision returns the number for a new proposal. It is above every number
// that is known for the part.
func (s *state) nextRevision() uint64 {
	n := s.counter.revision
	if s.active != nil {
		n = max(n, s.active.Revision)
	}
	return n + 1
}

func (s *state) activeHash() Hash {
	if s.active == nil {
		return Hash{}
	}
	return s.active.Hash()
}
