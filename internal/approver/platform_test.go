package approver

import (
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/storer"
	"marigoldhub.example/hub/standin/platform"
)

// TestLostAnswersOfPlatform takes revisions from proposal to activation in the
// platform stand-in's store, which loses one response in each step. It guards
// against differences between the stand-in's protocol and memoryStore.
func TestLostAnswersOfPlatform(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, err := platform.Start(platform.Config{Log: log})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	b := newFixture(t)
	gateway := storer.NewEtcdClient(storer.Config{Endpoints: []string{"http://" + p.Addr()}})
	defer gateway.Close()
	if b.proposer, err = NewProposals(Config{Store: gateway, Genesis: b.genesis, Operator: "ann"}); err != nil {
		t.Fatal(err)
	}
	b.activateGenesis(t)
	for i := range 3 {
		p.LoseAnswers(1)
		e := b.propose(t, "a", contentA(fmt.Sprint(20+i)))
		for _, s := range []Signer{b.coop, b.council} {
			p.LoseAnswers(1)
			if _, err := b.approve(t, "a", s); err != nil {
				t.Fatal(err)
			}
		}
		if got := b.active(t, "a"); got.Hash() != e.Hash() || got.Revision != uint64(i+1) {
			t.Fatalf("revision %d is active, want %d", got.Revision, i+1)
		}
	}
	p.LoseAnswers(0)
	history, err := b.proposer.History(ctx(t), "a")
	if err != nil || len(history) != 3 {
		t.Errorf("history has %d entries, want 3 (%v)", len(history), err)
	}
}
