package approver

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/storer"
)

func wantConflict(t *testing.T, err error, text string) {
	t.Helper()
	var conflict *ConflictError
	if !errors.As(err, &conflict) || !strings.Contains(err.Error(), text) {
		t.Fatalf("got error %v, want a ConflictError with %q", err, text)
	}
}

func wantReason(t *testing.T, err error, reason Reason) {
	t.Helper()
	if !errors.Is(err, &VerifyError{Reason: reason}) {
		t.Fatalf("got error %v, want reason %q", err, reason)
	}
}

// TestTwoOwnersPutRevisionInForce guards against a change that is activated
// with one approval, or not activated with two.
func TestTwoOwnersPutRevisionInForce(t *testing.T) {
	b := newFixture(t)
	b.activateGenesis(t)
	e := b.propose(t, "a", contentA("20"))
	for _, step := range []struct {
		signer Signer
		want   ApproveResult
	}{{b.coop, AwaitingSecondApproval}, {b.coop, AlreadyApproved}, {b.council, Activated}} {
		if b.store.has(currentKey("a")) {
			t.Fatal("active before the second co-owner's approval")
		}
		if got, err := b.approve(t, "a", step.signer); err != nil || got != step.want {
			t.Fatalf("got %v, %v, want %v", got, err, step.want)
		}
	}
	if got := b.active(t, "a"); got.Hash() != e.Hash() {
		t.Error("another revision is active")
	}
	if b.store.has(proposalKey("a")) || !b.store.has(historyKey("a", e.Revision)) {
		t.Error("proposal was not moved to the history")
	}
}

// TestOneOwnerWithTwoKeysIsNotEnough guards against one co-owner approving
// twice with different keys.
func TestOneOwnerWithTwoKeysIsNotEnough(t *testing.T) {
	b := newFixture(t)
	second := newSigner(t)
	b.genesis[0].Keys = append(b.genesis[0].Keys, second.Key())
	b.proposer = b.operator(t, "ann")
	b.activateGenesis(t)
	e := b.propose(t, "a", contentA("20"))
	if _, err := b.approve(t, "a", b.coop); err != nil {
		t.Fatal(err)
	}
	if got, err := b.approve(t, "a", second); err != nil || got != AlreadyApproved {
		t.Fatalf("got %v, %v, want Repeated", got, err)
	}
	both := e.WithApproval(b.coop.Approve(e, "cooperative")).WithApproval(second.Approve(e, "cooperative"))
	chain, _ := b.proposer.loadChain(ctx(t))
	wantReason(t, chain.Verify(both), ReasonMissingOwner)
}

// TestApprovalIsBoundToEnvelope guards against an approval that is copied to
// another revision, part, content, predecessor, owners revision or owner.
func TestApprovalIsBoundToEnvelope(t *testing.T) {
	b := newFixture(t)
	b.activateGenesis(t)
	accepted := b.activate(t, "a", contentA("20"))
	chain, _ := b.proposer.loadChain(ctx(t))
	if err := chain.Verify(accepted); err != nil {
		t.Fatal(err)
	}
	changes := []struct {
		name   string
		change func(*Envelope)
	}{
		{"content", func(e *Envelope) { e.Content = []byte(contentA("40")) }},
		{"revision", func(e *Envelope) { e.Revision = 9 }},
		{"part", func(e *Envelope) { e.Part = "b" }},
		{"predecessor", func(e *Envelope) { e.Predecessor[0]++ }},
	}
	for _, c := range changes {
		t.Run(c.name, func(t *testing.T) {
			e := accepted
			c.change(&e)
			wantReason(t, chain.Verify(e), ReasonSignature)
		})
	}
	e := accepted
	e.OwnersRevision = 0
	wantReason(t, chain.Verify(e), ReasonOwnersRevision)
	e = accepted
	e.Approvals = []Approval{e.Approvals[0], {Owner: "council-unit", KeyID: e.Approvals[0].KeyID, Signature: e.Approvals[0].Signature}}
	wantReason(t, chain.Verify(e), ReasonUnknownKey)
}

// TestForgedProposalIsNotSigned guards against approving a forged proposal: one
// with a false first approval, an old revision under a new number, or content
// that changed after the review.
func TestForgedProposalIsNotSigned(t *testing.T) {
	b := newFixture(t)
	b.activateGenesis(t)
	old := b.activate(t, "a", contentA("20"))
	b.activate(t, "a", contentA("30"))
	e := b.propose(t, "a", contentA("40"))
	review, err := b.proposer.Review(ctx(t), "a")
	if err != nil {
		t.Fatal(err)
	}
	forge := func(e Envelope) { b.store.forceValue(proposalKey("a"), Proposal{Envelope: e}.encode()) }

	replay := old
	replay.Revision = e.Revision
	forge(replay)
	_, err = b.proposer.Review(ctx(t), "a")
	wantConflict(t, err, "does not follow")

	replay.Predecessor = e.Predecessor
	forge(replay)
	_, err = b.proposer.Review(ctx(t), "a")
	wantReason(t, err, ReasonSignature)

	other := e
	other.Content = []byte(contentA("50"))
	forge(other)
	_, err = b.proposer.Approve(ctx(t), review, b.coop)
	wantConflict(t, err, "no longer proposed")

	broken := e
	broken.Content = []byte(contentA("1"))
	forge(broken)
	_, err = b.proposer.Review(ctx(t), "a")
	var findings checker.Findings
	if !errors.As(err, &findings) {
		t.Errorf("got %v, want findings", err)
	}
}

// TestForgedCurrentIsIgnored guards against using a current value that an
// attacker wrote into the store as the predecessor of the next revision.
func TestForgedCurrentIsIgnored(t *testing.T) {
	b := newFixture(t)
	b.activateGenesis(t)
	good := b.activate(t, "a", contentA("20"))
	forged := good
	forged.Revision, forged.Content = 77, []byte(contentA("30"))
	b.store.forceValue(currentKey("a"), forged.Encode())
	if got := b.active(t, "a"); got.Hash() != good.Hash() {
		t.Error("forged envelope counts as active")
	}
	next := b.activate(t, "a", contentA("40"))
	if next.Revision != good.Revision+1 || next.Predecessor != good.Hash() {
		t.Errorf("revision %d does not follow the verified one", next.Revision)
	}
}

// TestOperatorsRace guards against two proposals with one revision number, and
// against an operator who is not told what changed meanwhile.
func TestOperatorsRace(t *testing.T) {
	b := newFixture(t)
	b.activateGenesis(t)
	const operators = 8
	var wg, loaded sync.WaitGroup
	loaded.Add(operators)
	// No operator writes before all have read the same state.
	b.store.beforeCommit = func() {
		loaded.Done()
		loaded.Wait()
	}
	errs := make([]error, operators)
	for i := range operators {
		p := b.operator(t, fmt.Sprintf("operator-%d", i))
		wg.Go(func() {
			_, _, errs[i] = p.Propose(ctx(t), "a", []byte(contentA(fmt.Sprint(20+i))))
		})
	}
	wg.Wait()
	winners := 0
	for _, err := range errs {
		if err == nil {
			winners++
			continue
		}
		wantConflict(t, err, `was proposed by "operator-`)
	}
	if winners != 1 {
		t.Errorf("%d operators succeeded, want 1", winners)
	}
}

// TestApprovalRacesWithdrawal guards against a revision that is both withdrawn
// and activated.
func TestApprovalRacesWithdrawal(t *testing.T) {
	b := newFixture(t)
	b.activateGenesis(t)
	for i := range 30 {
		before := b.active(t, "a")
		e := b.propose(t, "a", contentA(fmt.Sprint(100+i)))
		if _, err := b.approve(t, "a", b.coop); err != nil {
			t.Fatal(err)
		}
		var approveErr, withdrawErr error
		var wg sync.WaitGroup
		wg.Go(func() { _, approveErr = b.approve(t, "a", b.council) })
		wg.Go(func() { _, withdrawErr = b.proposer.Withdraw(ctx(t), "a") })
		wg.Wait()
		if (approveErr == nil) == (withdrawErr == nil) {
			t.Fatalf("approve: %v, withdraw: %v; exactly one must succeed", approveErr, withdrawErr)
		}
		want := before.Hash()
		if approveErr == nil {
			want = e.Hash()
		}
		if b.active(t, "a").Hash() != want && (approveErr == nil || before.Revision > 0) {
			t.Fatal("the active revision does not match the outcome")
		}
	}
}

// TestNumbersAreNeverReused guards against a withdrawn revision number that is
// given out again.
func TestNumbersAreNeverReused(t *testing.T) {
	b := newFixture(t)
	b.activateGenesis(t)
	for want := uint64(1); want < 4; want++ {
		if e := b.propose(t, "a", contentA(fmt.Sprint(20+want))); e.Revision != want {
			t.Fatalf("got revision %d, want %d", e.Revision, want)
		}
		if _, err := b.proposer.Withdraw(ctx(t), "a"); err != nil {
			t.Fatal(err)
		}
	}
	if e := b.activate(t, "a", contentA("40")); e.Revision != 4 {
		t.Errorf("got revision %d, want 4", e.Revision)
	}
}

// TestLostAnswers runs an activation and a withdrawal while the response of the
// nth commit is lost, with or without the commit being applied. It guards
// against a write that is reported as failed or applied twice.
func TestLostAnswers(t *testing.T) {
	for _, f := range []commitBehavior{loseResponse, loseRequest} {
		for lost := 1; lost <= 4; lost++ {
			t.Run(fmt.Sprintf("behavior %d commit %d", f, lost), func(t *testing.T) {
				b := newFixture(t)
				b.activateGenesis(t)
				first := b.store.commits
				b.store.onCommit = func(n int) commitBehavior {
					if n == first+lost {
						return f
					}
					return commitNormally
				}
				e := b.activate(t, "a", contentA("20"))
				b.propose(t, "a", contentA("30"))
				if _, err := b.proposer.Withdraw(ctx(t), "a"); err != nil {
					t.Fatal(err)
				}
				if e.Revision != 1 || b.active(t, "a").Hash() != e.Hash() {
					t.Errorf("revision %d is active, want 1", e.Revision)
				}
				history, err := b.proposer.History(ctx(t), "a")
				if err != nil || len(history) != 1 {
					t.Errorf("history has %d entries, want 1 (%v)", len(history), err)
				}
			})
		}
	}
}

// TestUnreadableStoreGivesUnknown guards against a definite result when reading
// back shows no write that may still arrive.
func TestUnreadableStoreGivesUnknown(t *testing.T) {
	b := newFixture(t)
	b.activateGenesis(t)
	b.store.onCommit = func(int) commitBehavior { return loseRequest }
	_, _, err := b.proposer.Propose(ctx(t), "a", []byte(contentA("20")))
	if !storer.IsUnknownOutcome(err) {
		t.Errorf("got %v, want an unknown outcome", err)
	}
}

// TestProposerDies stops the operator's process after each step, and checks
// that another operator can repeat the steps or withdraw. It guards against a
// part that cannot be changed any more, and against a partly activated revision.
func TestProposerDies(t *testing.T) {
	for steps := 1; steps <= 3; steps++ {
		for _, withdraw := range []bool{false, true} {
			t.Run(fmt.Sprintf("after step %d, withdraw %v", steps, withdraw), func(t *testing.T) {
				b := newFixture(t)
				b.activateGenesis(t)
				first := b.store.commits
				b.store.onCommit = func(n int) commitBehavior {
					if n == first+steps {
						return crash
					}
					return commitNormally
				}
				err := b.proposeAndApprove(t, contentA("20"))
				if !errors.Is(err, errCrashed) {
					t.Fatalf("got %v, want errCrashed", err)
				}
				b.store.onCommit = nil
				b.proposer = b.operator(t, "bob")
				b.completeAsAnotherOperator(t, steps, withdraw)
			})
		}
	}
}

func (b *fixture) proposeAndApprove(t *testing.T, content string) error {
	if _, _, err := b.proposer.Propose(ctx(t), "a", []byte(content)); err != nil {
		return err
	}
	for _, s := range []Signer{b.coop, b.council} {
		if _, err := b.approve(t, "a", s); err != nil {
			return err
		}
	}
	return nil
}

func (b *fixture) completeAsAnotherOperator(t *testing.T, steps int, withdraw bool) {
	t.Helper()
	if withdraw {
		_, err := b.proposer.Withdraw(ctx(t), "a")
		if accepted := steps == 3; accepted != (err != nil) {
			t.Fatalf("withdraw: %v", err)
		}
	}
	err := b.proposeAndApprove(t, contentA("20"))
	if steps == 3 {
		wantConflict(t, err, "has the same content")
	} else if err != nil {
		t.Fatal(err)
	}
	want := uint64(1)
	if withdraw && steps < 3 {
		want = 2
	}
	if e := b.active(t, "a"); e.Revision != want {
		t.Errorf("revision %d is active, want %d", e.Revision, want)
	}
}

// TestClashingPartsAreNotBothAccepted guards against two parts with the same
// group that are activated at the same time.
func TestClashingPartsAreNotBothAccepted(t *testing.T) {
	b := newFixture(t)
	b.activateGenesis(t)
	b.propose(t, "a", contentA("20"))
	b.propose(t, "b", strings.Replace(contentA("20"), `part = "a"`, `part = "b"`, 1))
	for _, part := range []string{"a", "b"} {
		if _, err := b.approve(t, part, b.coop); err != nil {
			t.Fatal(err)
		}
	}
	reviewA, _ := b.proposer.Review(ctx(t), "a")
	reviewB, _ := b.proposer.Review(ctx(t), "b")
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for i, r := range []Review{reviewA, reviewB} {
		wg.Go(func() { _, errs[i] = b.proposer.Approve(ctx(t), r, b.council) })
	}
	wg.Wait()
	if (errs[0] == nil) == (errs[1] == nil) {
		t.Errorf("exactly one must be accepted: %v", errs)
	}
}

// TestOwnersChange guards against replaced keys that can still approve, and
// against a gap in the owners chain.
func TestOwnersChange(t *testing.T) {
	b := newFixture(t)
	first := b.activateGenesis(t)
	before := b.activate(t, "a", contentA("20"))
	pending := b.propose(t, "a", contentA("30"))
	replaced := newSigner(t)
	owners := []Owner{b.genesis[0], {Name: "council-unit", Keys: []OwnerKey{replaced.Key()}}}
	second := b.activate(t, ownersPart, FormatOwners(owners))
	if second.Predecessor != first.Hash() || second.OwnersRevision != first.Revision {
		t.Error("owners revision does not follow its predecessor")
	}
	chain, _ := b.proposer.loadChain(ctx(t))
	if err := chain.Verify(before); err != nil {
		t.Errorf("revision approved under the earlier owners does not verify any more: %v", err)
	}
	_, err := b.approve(t, "a", b.coop)
	wantConflict(t, err, "proposed under owners revision")
	if _, err := b.proposer.Withdraw(ctx(t), "a"); err != nil {
		t.Fatal(err)
	}
	b.propose(t, "a", contentA("30"))
	_, err = b.approve(t, "a", b.council)
	wantReason(t, err, ReasonUnknownKey)
	fork := second
	fork.Predecessor = Hash{}
	if _, err := b.proposer.genesis.ExtendAll([]Envelope{first, fork}); err == nil {
		t.Error("chain accepts a revision that does not follow its predecessor")
	}
	_ = pending
}

// TestStatusShowsFaults guards against malformed values that hide a part or
// block its withdrawal.
func TestStatusShowsFaults(t *testing.T) {
	b := newFixture(t)
	b.activateGenesis(t)
	b.activate(t, "a", contentA("20"))
	b.store.forceValue(proposalKey("a"), []byte("garbage"))
	status, err := b.proposer.Status(ctx(t))
	if err != nil || len(status) != 2 || len(status[0].Errors) != 1 || status[0].Active == nil {
		t.Fatalf("got %+v, %v", status, err)
	}
	if _, err := b.proposer.Withdraw(ctx(t), "a"); err != nil {
		t.Fatal(err)
	}
	b.activate(t, "a", contentA("30"))
}
