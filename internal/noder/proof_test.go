package noder

import (
	"encoding/json"
	"io"
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/informer/informertest"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/prover"
	"marigoldhub.example/hub/internal/storer/storertest"
	"marigoldhub.example/hub/platform"
)

// newView returns the view of an instance without a store that has version 5 in force.
func newView(t *testing.T, limit time.Duration) view {
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := storertest.New()
	store.SetDown(true)
	n := informer.New(informer.Config{
		Store: store, Schema: informertest.Schema(), Clock: clockwork.NewRealClock(), Log: log,
		ListInterval: func() time.Duration { return time.Hour }, LinearizableEvery: func() int { return 1 },
		CheckInterval: func() time.Duration { return time.Hour }, OnChange: func() {},
		MaxProofAge: limit, ProofRetryPause: func() time.Duration { return time.Hour },
	})
	t.Cleanup(n.Close)
	raw, err := json.Marshal(informer.Configuration{Version: 5, Teams: map[string]informer.Team{"t": {Name: "t"}}})
	if err != nil || !n.Offer(raw, "test") {
		t.Fatal("the configuration is not adopted", err)
	}
	return view{&Node{settings: platform.Settings{RevocationLimit: limit}, clock: clockwork.NewRealClock(), informer: n}}
}

// Guards against a proof that is taken for newer than it is, by the time on the way or by
// an age that no instance sends, and against an old one that counts where there is no limit.
func TestProofsOfOtherInstances(t *testing.T) {
	const limit = 5 * time.Second
	asked := time.Now().Add(-100 * time.Millisecond)
	for _, tc := range []struct {
		name  string
		limit time.Duration
		proof *wire.ConfigurationProof
		want  prover.Proof
		lacks bool
	}{
		{"none", limit, nil, prover.Proof{}, false},
		{"fresh", limit, &wire.ConfigurationProof{Version: 5, AgeUs: 1_000_000}, prover.Proof{Version: 5, At: asked.Add(-time.Second)}, false},
		{"of an older version", limit, &wire.ConfigurationProof{Version: 3, AgeUs: 0}, prover.Proof{Version: 3, At: asked}, false},
		{"of a newer version", limit, &wire.ConfigurationProof{Version: 6, AgeUs: 0}, prover.Proof{}, true},
		{"too old", limit, &wire.ConfigurationProof{Version: 5, AgeUs: 5_000_000}, prover.Proof{}, false},
		{"age that overflows", limit, &wire.ConfigurationProof{Version: 5, AgeUs: math.MaxUint64 - 10_000_000}, prover.Proof{}, false},
		{"age that overflows when it is a duration", limit, &wire.ConfigurationProof{Version: 5, AgeUs: math.MaxInt64 / 900}, prover.Proof{}, false},
		{"no limit", 0, &wire.ConfigurationProof{Version: 5, AgeUs: 1_000_000}, prover.Proof{Version: 5, At: asked.Add(-time.Second)}, false},
		{"no limit, too old", 0, &wire.ConfigurationProof{Version: 5, AgeUs: 10_000_000}, prover.Proof{}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := newView(t, tc.limit)
			lacks := v.learnProof(tc.proof, asked)
			if got := v.informer.Current().Proof; got != tc.want || lacks != tc.lacks {
				t.Errorf("proof %v, lacks %v, want %v, %v", got, lacks, tc.want, tc.lacks)
			}
			sent := v.proof()
			if (sent != nil) == tc.want.IsZero() {
				t.Fatalf("sends %v", sent)
			}
			if sent != nil && (sent.GetVersion() != tc.want.Version || sent.GetAgeUs() <= tc.proof.GetAgeUs()+100_000) {
				t.Errorf("sends %v, want an age of more than that of %v and the time on the way", sent, tc.proof)
			}
		})
	}
}
