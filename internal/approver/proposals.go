package approver

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/storer"
)

// Config configures the operations of one operator.
type Config struct {
	Store storer.Store
	// Genesis are the co-owners' first keys, from the settings.
	Genesis []Owner
	// Operator is recorded as the proposer, for information only.
	Operator string
	// Clock is the real clock by default.
	Clock clockwork.Clock
}

// Proposals runs the operations by which a revision is proposed and activated.
//
// Operations return a ConflictError when the state of the part does not allow
// them, checker.Findings when the content does not pass the checks, a
// VerifyError when a signature or key is not valid, and a
// storer.UnknownOutcomeError when it is unknown whether a write was applied.
// Each operation can be repeated.
type Proposals struct {
	cfg     Config
	genesis *Chain
}

// NewProposals returns the operations. It fails when the genesis keys are not
// valid.
func NewProposals(cfg Config) (*Proposals, error) {
	chain, err := NewChain(cfg.Genesis)
	if err != nil {
		return nil, err
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	return &Proposals{cfg: cfg, genesis: chain}, nil
}

// Propose checks the content and opens a proposal under a new revision number.
// When the open proposal already has this content, it is returned and repeated
// is true.
func (p *Proposals) Propose(ctx context.Context, part string, content []byte) (proposal Proposal, repeated bool, err error) {
	s, err := p.load(ctx, part)
	if err != nil {
		return Proposal{}, false, err
	}
	if s.proposal != nil && string(s.proposal.Envelope.Content) == string(content) {
		return *s.proposal, true, nil
	}
	if err := s.checkCanPropose(content); err != nil {
		return Proposal{}, false, err
	}
	if err := p.checkContent(ctx, s.chain, part, content); err != nil {
		return Proposal{}, false, err
	}
	proposal = p.newProposal(s, content)
	if len(proposal.Envelope.Encode()) > MaxEnvelopeSize-maxApprovals*maxApprovalSize {
		return Proposal{}, false, storer.ErrTooLarge
	}
	applied, err := p.commit(ctx, proposeTransaction(s, proposal), func(ctx context.Context) (writeOutcome, error) {
		return p.readBackProposed(ctx, proposal)
	})
	if err != nil {
		return Proposal{}, false, err
	}
	if !applied {
		return Proposal{}, false, p.explainConflict(ctx, s)
	}
	return proposal, false, nil
}

// maxApprovalSize is the largest encoded size of one approval in bytes: three
// length prefixes, two names and a signature.
const maxApprovalSize = 3*4 + 2*maxNameSize + 64

// checkCanPropose refuses a proposal while another one is open, content that is
// already active, and a customer's part before the first owners revision.
func (s *state) checkCanPropose(content []byte) error {
	if s.proposalMod != 0 {
		return s.conflict("withdraw or approve it first", s.describeProposal())
	}
	if s.active != nil && string(s.active.Content) == string(content) {
		return s.conflict(fmt.Sprintf("revision %d in force has the same content", s.active.Revision))
	}
	if s.part != ownersPart && s.chain.HeadRevision() == 0 {
		return s.conflict("the first owners revision is not in force; run genesis first")
	}
	return nil
}

func (p *Proposals) newProposal(s *state, content []byte) Proposal {
	nonce := make([]byte, nonceSize)
	rand.Read(nonce)
	return Proposal{
		Envelope: Envelope{
			Part:           s.part,
			Revision:       s.nextRevision(),
			Predecessor:    s.activeHash(),
			OwnersRevision: s.chain.HeadRevision(),
			Content:        content,
		},
		Proposer: p.cfg.Operator,
		Proposed: p.cfg.Clock.Now().UTC(),
		nonce:    hex.EncodeToString(nonce),
	}
}

func proposeTransaction(s *state, proposal Proposal) storer.Transaction {
	taken := revisionCounter{proposal.Envelope.Revision, proposal.nonce}
	return storer.Transaction{}.
		WithUnchanged(counterKey(s.part), s.counterMod).
		WithAbsent(proposalKey(s.part)).
		WithUnchanged(currentKey(s.part), s.currentMod).
		WithPut(counterKey(s.part), taken.encode()).
		WithPut(proposalKey(s.part), proposal.encode())
}

// readBackProposed tells whether the proposal was written.
func (p *Proposals) readBackProposed(ctx context.Context, mine Proposal) (writeOutcome, error) {
	s, err := p.load(ctx, mine.Envelope.Part)
	if err != nil {
		return outcomeUnknown, err
	}
	if s.counter.nonce == mine.nonce || s.proposal != nil && s.proposal.nonce == mine.nonce {
		return outcomeApplied, nil
	}
	if s.counter.revision < mine.Envelope.Revision {
		return outcomeNotApplied, nil
	}
	// The number was given to this proposal or to another one; the history
	// tells to which, if it was activated.
	if e, ok, err := p.findInHistory(ctx, s.chain, mine.Envelope.Part, mine.Envelope.Revision); err != nil || ok {
		return outcomeOf(ok && e.Hash() == mine.Envelope.Hash()), err
	}
	if s.counter.revision == mine.Envelope.Revision {
		return outcomeNotApplied, nil
	}
	return outcomeUnknown, nil
}

// Withdraw deletes the open proposal. Its revision number is not used again.
func (p *Proposals) Withdraw(ctx context.Context, part string) (Proposal, error) {
	s, err := p.load(ctx, part)
	if err != nil {
		return Proposal{}, err
	}
	if s.proposalMod == 0 {
		return Proposal{}, s.conflict("there is no open proposal", s.describeActive())
	}
	tx := storer.Transaction{}.
		WithUnchanged(proposalKey(part), s.proposalMod).
		WithDelete(proposalKey(part))
	applied, err := p.commit(ctx, tx, func(ctx context.Context) (writeOutcome, error) {
		return p.readBackWithdrawn(ctx, s)
	})
	if err != nil {
		return Proposal{}, err
	}
	if !applied {
		return Proposal{}, p.explainConflict(ctx, s)
	}
	if s.proposal == nil {
		return Proposal{Envelope: Envelope{Part: part}}, nil
	}
	return *s.proposal, nil
}

// readBackWithdrawn tells whether the proposal that was read before is gone
// without having been activated.
func (p *Proposals) readBackWithdrawn(ctx context.Context, before *state) (writeOutcome, error) {
	now, err := p.load(ctx, before.part)
	if err != nil {
		return outcomeUnknown, err
	}
	if now.proposalMod == before.proposalMod {
		return outcomeNotApplied, nil
	}
	if before.proposal == nil {
		return outcomeOf(now.proposalMod == 0), nil
	}
	revision := before.proposal.Envelope.Revision
	if now.proposal != nil && now.proposal.Envelope.Revision == revision {
		return outcomeNotApplied, nil
	}
	_, activated, err := p.findInHistory(ctx, now.chain, before.part, revision)
	return outcomeOf(!activated), err
}

// findInHistory returns a verified envelope of the history.
func (p *Proposals) findInHistory(ctx context.Context, chain *Chain, part string, revision uint64) (Envelope, bool, error) {
	entry, ok, err := p.cfg.Store.Get(ctx, historyKey(part, revision))
	if err != nil || !ok {
		return Envelope{}, false, err
	}
	e, err := verifyStored(chain, part, entry.Value)
	return e, err == nil, nil
}
