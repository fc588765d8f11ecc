package approver

import (
	"context"
	"fmt"

	"marigoldhub.example/hub/internal/storer"
)

// Review is an open proposal that passed all checks, as a co-owner sees it
// before approving.
type Review struct {
	Proposal Proposal
	// Active is the envelope that the proposal replaces, or nil.
	Active *Envelope
}

// ApproveResult tells what an approval achieved.
type ApproveResult int

// Results of Approve.
const (
	// AwaitingSecondApproval means that the approval is stored and that the
	// other co-owner has not approved yet.
	AwaitingSecondApproval ApproveResult = iota + 1
	// AlreadyApproved means that this co-owner had approved before; nothing
	// changed.
	AlreadyApproved
	// Activated means that the revision became the active one.
	Activated
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
	return Review{Proposal: *s.proposal, Active: s.active}, nil
}

// checkProposal accepts only a proposal that follows the active revision, was
// made under the newest owners revision, has no invalid approval and has
// content that passes the checks.
func (p *Proposals) checkProposal(ctx context.Context, s *state) error {
	if s.proposal == nil {
		return s.conflict(s.describeProposal(), s.describeActive())
	}
	e := s.proposal.Envelope
	if e.OwnersRevision != s.chain.HeadRevision() {
		return s.conflict(fmt.Sprintf("revision %d was proposed under owners revision %d, the present one is %d; withdraw it and propose again",
			e.Revision, e.OwnersRevision, s.chain.HeadRevision()))
	}
	if s.active != nil && e.Revision <= s.active.Revision || e.Predecessor != s.activeHash() || e.Revision > s.counter.revision {
		return s.conflict(fmt.Sprintf("revision %d does not follow the revision in force", e.Revision), s.describeActive())
	}
	if _, err := s.chain.headOwners().checkApprovals(e); err != nil {
		return err
	}
	return p.checkContent(ctx, s.chain, s.part, e.Content)
}

// Approve signs the reviewed proposal and stores the approval. The second
// co-owner's approval activates the revision: one transaction writes it as the
// current one and to the history, and deletes the proposal.
func (p *Proposals) Approve(ctx context.Context, r Review, signer ApprovalSource) (ApproveResult, error) {
	part := r.Proposal.Envelope.Part
	for range maxWriteAttempts {
		// The catalog's revision is read before the other parts are checked, so
		// that the transaction fails when another part is activated meanwhile.
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
		result, again, err := p.tryApprove(ctx, s, catalog.ModRevision, signer)
		if !again {
			return result, err
		}
	}
	return 0, &ConflictError{Part: part, Changes: []string{"other operators kept changing it; repeat the operation"}}
}

func (p *Proposals) checkReviewed(ctx context.Context, s *state, r Review) error {
	if s.proposal == nil || s.proposal.Envelope.Hash() != r.Proposal.Envelope.Hash() {
		return s.conflict(fmt.Sprintf("revision %d that was reviewed is no longer proposed", r.Proposal.Envelope.Revision),
			s.describeProposal(), s.describeActive())
	}
	return p.checkProposal(ctx, s)
}

// tryApprove makes one attempt. again is true when the state changed during
// the attempt, so that another one may succeed.
func (p *Proposals) tryApprove(ctx context.Context, s *state, catalogMod int64, signer ApprovalSource) (result ApproveResult, again bool, err error) {
	owners := s.chain.headOwners()
	e := s.proposal.Envelope
	owner, ok := owners.ownerOfKey(signer.Key().ID)
	if !ok {
		return 0, false, e.verifyError(ReasonUnknownKey, fmt.Sprintf("%s is not a key of the present co-owners", signer.Key().ID))
	}
	if _, ok := e.ApprovalOf(owner); ok {
		return AlreadyApproved, false, nil
	}
	mine := signer.Approve(e, owner)
	if err := owners.checkApproval(e, mine); err != nil {
		return 0, false, err
	}
	approved := *s.proposal
	approved.Envelope = e.WithApproval(mine)
	result = AwaitingSecondApproval
	tx := storer.Transaction{}.
		WithUnchanged(proposalKey(s.part), s.proposalMod).
		WithPut(proposalKey(s.part), approved.encode())
	if owners.verify(approved.Envelope) == nil {
		result = Activated
		tx = s.activateTransaction(approved.Envelope, catalogMod)
	}
	done, err := p.commit(ctx, tx, func(ctx context.Context) (writeOutcome, error) {
		found, activated, err := p.readBackApproved(ctx, approved.Envelope, mine)
		if activated {
			result = Activated
		}
		return found, err
	})
	if err != nil || done {
		return result, false, err
	}
	return 0, true, nil
}

func (s *state) activateTransaction(e Envelope, catalogMod int64) storer.Transaction {
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

// readBackApproved tells whether the approval is stored in the open proposal or
// the envelope was activated.
func (p *Proposals) readBackApproved(ctx context.Context, e Envelope, mine Approval) (found writeOutcome, activated bool, err error) {
	s, err := p.load(ctx, e.Part)
	if err != nil {
		return outcomeUnknown, false, err
	}
	if s.proposal != nil && s.proposal.Envelope.Hash() == e.Hash() {
		stored, ok := s.proposal.Envelope.ApprovalOf(mine.Owner)
		return outcomeOf(ok && string(stored.Signature) == string(mine.Signature)), false, nil
	}
	stored, ok, err := p.findInHistory(ctx, s.chain, e.Part, e.Revision)
	activated = ok && stored.Hash() == e.Hash()
	return outcomeOf(activated), activated, err
}
