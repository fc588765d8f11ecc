package approver

import (
	"context"
	"fmt"

	"marigoldhub.example/hub/internal/storer"
)

// Review is what an approver has to look at before signing.
type Review struct {
	Proposal Proposal
	// InForce is the envelope that the proposal replaces, or nil.
	InForce *Envelope
}

// Progress tells what an approval achieved.
type Progress int

// Results of Approve.
const (
	// Waiting means that the approval is stored and the other co-owner's is
	// missing.
	Waiting Progress = iota + 1
	// Repeated means that this co-owner had approved before; nothing changed.
	Repeated
	// InForce means that the revision came into force.
	InForce
)

// Review returns the open proposal after all checks that Approve makes.
func (p *Proposals) Review(ctx context.Context, part string) (Review, error) {
	s, err := p.load(ctx, part)
	if err != nil {
		return Review{}, err
	}
	if err := p.checkProposal(ctx, s); err != nil {
		return Review{}, err
	}
	return Review{Proposal: *s.proposal, InForce: s.base}, nil
}

// checkProposal admits only a proposal that follows the revision in force,
// is under the present owners, holds no false approval and has content that
// passes the checks.
func (p *Proposals) checkProposal(ctx context.Context, s *state) error {
	if s.proposal == nil {
		return s.conflict(s.describeProposal(), s.describeBase())
	}
	e := s.proposal.Envelope
	if e.OwnersRevision != s.chain.Head() {
		return s.conflict(fmt.Sprintf("revision %d was proposed under owners revision %d, the present one is %d; withdraw it and propose again",
			e.Revision, e.OwnersRevision, s.chain.Head()))
	}
	if s.base != nil && e.Revision <= s.base.Revision || e.Predecessor != s.baseHash() || e.Revision > s.counter.revision {
		return s.conflict(fmt.Sprintf("revision %d does not follow the revision in force", e.Revision), s.describeBase())
	}
	if _, err := s.chain.headOwners().checkApprovals(e); err != nil {
		return err
	}
	return p.checkContent(ctx, s.chain, s.part, e.Content)
}

// Approve signs the reviewed proposal and stores the approval. The second
// co-owner's approval writes the revision in force and its history and deletes
// the proposal in one transaction.
func (p *Proposals) Approve(ctx context.Context, r Review, signer KeyHolder) (Progress, error) {
	part := r.Proposal.Envelope.Part
	for range maxWriteAttempts {
		// The catalog's revision is read before the other parts are checked.
		catalog, _, err := p.cfg.Store.Get(ctx, CatalogKey)
		if err != nil {
			return 0, err
		}
		s, err := p.load(ctx, part)
		if err != nil {
			return 0, err
		}
		if err := p.checkReviewed(ctx, s, r); err != nil {
			return 0, err
		}
		progress, again, err := p.approveOnce(ctx, s, catalog.ModRevision, signer)
		if !again {
			return progress, err
		}
	}
	return 0, &ConflictError{Part: part, Changes: []string{"other operators kept changing it; repeat the operation"}}
}

func (p *Proposals) checkReviewed(ctx context.Context, s *state, r Review) error {
	if s.proposal == nil || s.proposal.Envelope.Hash() != r.Proposal.Envelope.Hash() {
		return s.conflict(fmt.Sprintf("revision %d that was reviewed is no longer proposed", r.Proposal.Envelope.Revision),
			s.describeProposal(), s.describeBase())
	}
	return p.checkProposal(ctx, s)
}

// approveOnce makes one attempt. again is true when the state changed in a way
// that a fresh look may resolve.
func (p *Proposals) approveOnce(ctx context.Context, s *state, catalogMod int64, signer KeyHolder) (progress Progress, again bool, err error) {
	owners := s.chain.headOwners()
	e := s.proposal.Envelope
	owner, ok := owners.find(signer.Key().ID)
	if !ok {
		return 0, false, e.fault(ReasonUnknownKey, fmt.Sprintf("%s is not a key of the present co-owners", signer.Key().ID))
	}
	if _, ok := e.ApprovalOf(owner); ok {
		return Repeated, false, nil
	}
	mine := signer.Approve(e, owner)
	if err := owners.checkApproval(e, mine); err != nil {
		return 0, false, err
	}
	approved := *s.proposal
	approved.Envelope = e.WithApproval(mine)
	progress = Waiting
	tx := storer.Transaction{}.
		WithUnchanged(proposalKey(s.part), s.proposalMod).
		WithPut(proposalKey(s.part), approved.encode())
	if owners.prove(approved.Envelope) == nil {
		progress = InForce
		tx = s.acceptTransaction(approved.Envelope, catalogMod)
	}
	done, err := p.settle(ctx, tx, func(ctx context.Context) (settlement, error) {
		found, accepted, err := p.findApproved(ctx, approved.Envelope, mine)
		if accepted {
			progress = InForce
		}
		return found, err
	})
	if err != nil || done {
		return progress, false, err
	}
	return 0, true, nil
}

func (s *state) acceptTransaction(e Envelope, catalogMod int64) storer.Transaction {
	encoded := e.Encode()
	return storer.Transaction{}.
		WithUnchanged(proposalKey(s.part), s.proposalMod).
		WithUnchanged(currentKey(s.part), s.currentMod).
		WithUnchanged(CatalogKey, catalogMod).
		WithAbsent(historyKey(s.part, e.Revision)).
		WithPut(currentKey(s.part), encoded).
		WithPut(historyKey(s.part, e.Revision), encoded).
		WithPut(CatalogKey, fmt.Appendf(nil, "%s %d", e.Part, e.Revision)).
		WithDelete(proposalKey(s.part))
}

// findApproved tells whether the approval is stored in the open proposal, or
// the envelope was accepted.
func (p *Proposals) findApproved(ctx context.Context, e Envelope, mine Approval) (found settlement, accepted bool, err error) {
	s, err := p.load(ctx, e.Part)
	if err != nil {
		return undetermined, false, err
	}
	if s.proposal != nil && s.proposal.Envelope.Hash() == e.Hash() {
		stored, ok := s.proposal.Envelope.ApprovalOf(mine.Owner)
		return settlementOf(ok && string(stored.Signature) == string(mine.Signature)), false, nil
	}
	historic, ok, err := p.historic(ctx, s.chain, e.Part, e.Revision)
	accepted = ok && historic.Hash() == e.Hash()
	return settlementOf(accepted), accepted, err
}
