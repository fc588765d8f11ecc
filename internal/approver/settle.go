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
	writePause       = 100 * time.Millisecond
)

// settlement is what reading back tells about a write.
type settlement int

const (
	undetermined settlement = iota
	landed
	absent
)

func settlementOf(done bool) settlement {
	if done {
		return landed
	}
	return absent
}

// settle commits the transaction and returns whether it took effect.
//
// When the response was lost, find reads back. If the write is not there it
// may still arrive, so the same transaction is repeated: its compares admit it
// once, and a failed compare proves that it cannot arrive any more.
func (p *Proposals) settle(ctx context.Context, tx storer.Transaction, find func(context.Context) (settlement, error)) (bool, error) {
	var lost error
	for range maxWriteAttempts {
		result, err := p.cfg.Store.Commit(ctx, tx)
		switch {
		case err == nil && result.Succeeded:
			return true, nil
		case err == nil && lost == nil:
			return false, nil
		case err != nil && !storer.IsUnknownOutcome(err) && lost == nil:
			return false, err
		case err != nil:
			lost = firstError(lost, err)
		}
		found, findErr := find(ctx)
		if findErr == nil && found == landed {
			return true, nil
		}
		if findErr == nil && err == nil && found == absent {
			return false, nil
		}
		if err := p.pause(ctx); err != nil {
			break
		}
	}
	var unknown *storer.UnknownOutcomeError
	if !errors.As(lost, &unknown) {
		unknown = &storer.UnknownOutcomeError{Call: "txn", Cause: lost}
	}
	return false, unknown
}

func (p *Proposals) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-p.cfg.Clock.After(writePause):
		return nil
	}
}

// explain returns a ConflictError that says what changed since before.
func (p *Proposals) explain(ctx context.Context, before *state) error {
	now, err := p.load(ctx, before.part)
	if err != nil {
		return before.conflict("changed during the operation; what changed could not be read")
	}
	changes := []string{"changed during the operation"}
	if now.proposalMod != before.proposalMod {
		changes = append(changes, now.describeProposal())
	}
	if now.currentMod != before.currentMod {
		changes = append(changes, now.describeBase())
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
			e.Revision, s.proposal.Proposer, s.proposal.Proposed.Format(time.RFC3339), e.Owners())
	}
}

func (s *state) describeBase() string {
	if s.base == nil {
		return "no revision is in force"
	}
	return fmt.Sprintf("revision %d is in force, approved by %q", s.base.Revision, s.base.Owners())
}
