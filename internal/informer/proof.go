package informer

import (
	"context"
	"time"

	"marigoldhub.example/hub/internal/prover"
	"marigoldhub.example/hub/internal/storer"
)

// Current is the configuration in force with the newest proof that applies to it. Both
// are nil or zero if there is none.
type Current struct {
	Configuration *Configuration
	Proof         prover.Proof
}

// IsProved reports whether there is a proof, of any age.
func (c Current) IsProved() bool { return !c.Proof.IsZero() }

// Current returns the configuration in force and the proof that it is current.
func (n *Informer) Current() Current { return *n.current.Load() }

// NeedsProof reports whether the configuration in force counts only as long as it is
// proved to be current: it has teams, whose keys may be withdrawn, and there is a limit
// to the age of proofs.
func (n *Informer) NeedsProof() bool {
	c := n.Current().Configuration
	return n.cfg.MaxProofAge > 0 && c != nil && c.HasTeams()
}

// OfferProof adds another instance's proof. It reports whether the proof is for a version
// that is newer than the one in force, which this instance lacks then.
func (n *Informer) OfferProof(p prover.Proof) (lacks bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.proofs.Add(p)
	n.publishCurrent()
	return n.configuration == nil || p.Version > n.configuration.Version
}

// publishCurrent makes the configuration and its proof visible to callers of Current. The
// caller holds mu.
func (n *Informer) publishCurrent() {
	c := &Current{Configuration: n.configuration}
	if n.configuration != nil {
		c.Proof = n.proofs.Usable(n.configuration.Version)
	}
	if *n.current.Load() != *c {
		n.current.Store(c)
	}
}

// readConfiguration reads the configuration by a linearizable read, which also proves
// which version is current. It returns the revision of the record, 0 if there is none.
func (n *Informer) readConfiguration(ctx context.Context, source string) (revision int64, adopted bool, err error) {
	began := n.cfg.Clock.Now()
	e, ok, err := n.cfg.Store.Get(ctx, n.cfg.Schema.ConfigurationKey)
	if err != nil || !ok {
		return 0, false, err
	}
	version, adopted := n.offer(e.Value, source)
	n.mu.Lock()
	defer n.mu.Unlock()
	epoch := storer.Epoch(e.ModRevision)
	n.proofs.ObserveEpoch(epoch, n.cfg.Clock.Now())
	if version > 0 {
		n.proofs.Record(prover.Read{Began: began, Epoch: epoch, Version: version})
		n.publishCurrent()
	}
	return e.ModRevision, adopted, nil
}

const (
	// provedCheckFactor lengthens [Config.CheckInterval] while the root proves that the
	// configuration is current: its reads show changes as well.
	provedCheckFactor = 2
	// freshProof is the age up to which a proof shows that the root reads the store.
	freshProof = 2 * time.Second
)

// proofCheckInterval is how often the age of the proof is looked at.
const proofCheckInterval = 200 * time.Millisecond

// renewProof renews the proof of an instance that needs one.
func (n *Informer) renewProof(ctx context.Context) {
	r := prover.Refresher{Limit: n.cfg.MaxProofAge, RetryPause: n.cfg.ProofRetryPause}
	for {
		n.pause(ctx, proofCheckInterval)
		if ctx.Err() != nil {
			return
		}
		if !n.NeedsProof() {
			continue
		}
		switch r.Next(n.cfg.Clock.Now(), n.Current().Proof, n.cfg.IsProofRoot()) {
		case prover.AskPeers:
			go n.cfg.AskPeers()
		case prover.ReadStore:
			adopted, err := n.checkForChange(ctx, "proof")
			if err != nil {
				n.cfg.Log.WithError(err).Debug("informer: configuration could not be read to prove that it is current")
			}
			if adopted && ctx.Err() == nil {
				go n.cfg.OnChange()
			}
		}
	}
}
