package launcher

import (
	"context"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/reporter"
	"marigoldhub.example/hub/internal/tracker"
)

// Status returns the state of the instance as the administration API shows it.
func (i *Instance) Status() reporter.Status {
	s := reporter.Status{
		Instance: i.settings.Instance, Zone: i.settings.Zone, Version: Version, Stale: i.distributor.Stale(),
	}
	s.Ready, s.Reason = i.readiness()
	for _, m := range i.membership.Members() {
		s.Members = append(s.Members, m.Instance)
	}
	for _, p := range i.distributor.Parts() {
		s.Parts = append(s.Parts, reporter.Part{Part: p.Part, Revision: p.Revision, Hash: p.Hash, Since: p.Since})
	}
	for _, g := range i.distributor.Catalog().Groups() {
		if v, ok := i.overseer.View(g.Name); ok {
			s.Groups = append(s.Groups, i.groupStatus(v))
		}
	}
	return s
}

func (i *Instance) readiness() (bool, string) {
	if i.isStopping() {
		return false, "graceful shutdown"
	}
	if ready, reason := i.distributor.Ready(); !ready {
		return false, reason
	}
	if i.runningGatekeeper() == nil {
		return false, "callers are not accepted yet"
	}
	return true, ""
}

func (i *Instance) groupStatus(v tracker.View) reporter.Group {
	g := reporter.Group{Group: v.Group, Monitor: v.Monitor, Term: v.Term, Primary: v.Primary, Draining: v.Draining}
	now := i.clock.Now()
	for _, r := range v.Replicas {
		replica := reporter.Replica{
			Server: r.Server, Position: r.Log.String(), AgeMS: -1, Reachable: r.Reachable, Leaving: r.Leaving,
		}
		if age, ok := r.Age(now); ok {
			replica.AgeMS = age.Milliseconds()
		}
		g.Servers = append(g.Servers, replica)
	}
	return g
}

// proposals returns nil when the settings name no store or the genesis file
// cannot be read.
func (i *Instance) proposals() reporter.ProposalHandler {
	store := i.store()
	genesis, err := i.genesis()
	if store == nil || err != nil {
		return nil
	}
	p, err := approver.NewProposals(approver.Config{Store: store, Genesis: genesis, Operator: i.settings.Instance, Clock: i.clock})
	if err != nil {
		return nil
	}
	return proposalHandler{p}
}

// proposalHandler carries out operations on manifest proposals for operators
// whose keys stay on their own machines.
type proposalHandler struct{ *approver.Proposals }

var _ reporter.ProposalHandler = proposalHandler{}

// Propose implements reporter.ProposalHandler.
func (h proposalHandler) Propose(ctx context.Context, content []byte) ([]byte, error) {
	manifest, findings := checker.Decode[checker.Manifest]("manifest", content)
	part := manifest.Part
	if err := findings.Err(); err != nil && part == "" {
		return nil, err
	}
	proposal, _, err := h.Proposals.Propose(ctx, part, content)
	return proposal.Envelope.Encode(), err
}

// Approve implements reporter.ProposalHandler. A signature that does not
// verify is refused before anything is stored.
func (h proposalHandler) Approve(ctx context.Context, part string, approval []byte) ([]byte, error) {
	signed, err := approver.ParseSignedApproval(approval)
	if err != nil {
		return nil, err
	}
	review, err := h.Review(ctx, part)
	if err != nil {
		return nil, err
	}
	if _, err := h.Proposals.Approve(ctx, review, signed); err != nil {
		return nil, err
	}
	return review.Proposal.Envelope.Encode(), nil
}

// Open implements reporter.ProposalHandler.
func (h proposalHandler) Open(ctx context.Context, part string) ([]byte, error) {
	review, err := h.Review(ctx, part)
	return review.Proposal.Envelope.Encode(), err
}

// Withdraw implements reporter.ProposalHandler.
func (h proposalHandler) Withdraw(ctx context.Context, part string) error {
	_, err := h.Proposals.Withdraw(ctx, part)
	return err
}
