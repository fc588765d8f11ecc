package approver

import (
	"context"
	"errors"
	"fmt"
	"time"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/storer"
)

const (
	ownersPart       = checker.OwnersPart
	maxWriteAttempts = 5
	retryDelay       = 100 * time.Millisecond
)

// writeOutcome is what reading back tells about a write.
type writeOutcome int

const (
	outcomeUnknown writeOutcome = iota
	outcomeApplied
	// outcomeNotApplied means that the write has no effect so far. A request
	// whose response was lost may still arrive.
	outcomeNotApplied
)

func outcomeOf(applied bool) writeOutcome {
	if applied {
		return outcomeApplied
	}
	return outcomeNotApplied
}

// commit commits the transaction and returns whether it was applied.
//
// When the response was lost, readBack looks for the write. A write that is not
// found may still arrive, so the same transaction is sent again: its compares
// allow it to be applied only once, and after a failed compare it cannot be
// applied any more.
func (p *Proposals) commit(ctx context.Context, tx storer.Transaction, readBack func(context.Context) (writeOutcome, error)) (bool, error) {
	var unknownErr error
	for range maxWriteAttempts {
		result, err := p.cfg.Store.Commit(ctx, tx)
		switch {
		case err == nil && result.Succeeded:
			return true, nil
		case err == nil && unknownErr == nil:
			return false, nil
		case err != nil && !storer.IsUnknownOutcome(err) && unknownErr == nil:
			return false, err
		case err != nil:
			unknownErr = firstError(unknownErr, err)
		}
		found, findErr := readBack(ctx)
		if findErr == nil && found == outcomeApplied {
			return true, nil
		}
		if findErr == nil && err == nil && found == outcomeNotApplied {
			return false, nil
		}
		if err := p.waitBeforeRetry(ctx); err != nil {
			break
		}
	}
	var unknownOutcome *storer.UnknownOutcomeError
	if !errors.As(unknownErr, &unknownOutcome) {
		unknownOutcome = &storer.UnknownOutcomeError{Call: "txn", Cause: unknownErr}
	}
	return false, unknownOutcome
}

func (p *Proposals) waitBeforeRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-p.cfg.Clock.After(retryDelay):
		return nil
	}
}

// explainConflict returns a ConflictError that says what changed since the
// state before was read.
func (p *Proposals) explainConflict(ctx context.Context, before *state) error {
	now, err := p.load(ctx, before.part)
	if err != nil {
		return before.conflict("changed during the operation; what changed could not be read")
	}
	changes := []string{"changed during the operation"}
	if now.proposalMod != before.proposalMod {
		changes = append(changes, now.describeProposal())
	}
	if now.currentMod != before.currentMod {
		changes = append(changes, now.describeActive())
	}
	if before.proposal != nil && now.proposalMod == 0 && now.currentMod == before.currentMod {
		changes = append(changes, fmt.Sprintf("revision %d was withdrawn", before.proposal.Envelope.Revision))
	}
	if len(changes) == 1 {
		changes = append(changes, "another part came into force; repeat the operation")
	}
	return before.conflict(changes...)
}

func (s *state) conflict(changes ...string) error {
	return &ConflictError{Part: s.part, Changes: changes}
}

func (s *state) describeProposal() string {
	switch {
	case s.proposalErr != nil:
		return fmt.Sprintf("the stored proposal is malformed (%v)", s.proposalErr)
	case s.proposal == nil:
		return "there is no open proposal"
	default:
		e := s.proposal.Envelope
		return fmt.Sprintf("revision %d was proposed by %q at %s, approved by %q",
			e.Revision, s.proposal.Proposer, s.proposal.Proposed.Format(time.RFC3339), e.ApprovingOwners())
	}
}

func (s *state) describeActive() string {
	if s.active == nil {
		return "no revision is in force"
	}
	return fmt.Sprintf("revision %d is in force, approved by %q", s.active.Revision, s.active.ApprovingOwners())
}
