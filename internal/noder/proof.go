package noder

import (
	"cmp"
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/prover"
)

// maxProofAge is the age up to which proofs count where there is no limit for withdrawals.
// They only spare an instance its own reads then.
const maxProofAge = 10 * time.Second

// proof returns the proof that this instance's configuration is current, as it is sent to
// other instances; nil if there is none.
func (v view) proof() *wire.ConfigurationProof {
	p := v.informer.Current().Proof
	if p.IsZero() {
		return nil
	}
	// The age is rounded up, so that the proof is not taken for newer than it is.
	return &wire.ConfigurationProof{Version: p.Version, AgeUs: uint64(v.clock.Since(p.At).Microseconds()) + 1}
}

// learnProof adds a proof from the response to a request that was sent at the time. It
// reports whether the proof is for a newer configuration than the one in force. The age
// is counted from before the request was sent, because the time on the way is unknown.
func (v view) learnProof(p *wire.ConfigurationProof, asked time.Time) (lacks bool) {
	limit := cmp.Or(v.settings.RevocationLimit, maxProofAge)
	if p == nil || p.GetVersion() <= 0 || p.GetAgeUs() >= uint64(limit.Microseconds()) {
		return false
	}
	age := time.Duration(p.GetAgeUs()) * time.Microsecond
	return v.informer.OfferProof(prover.Proof{Version: p.GetVersion(), At: asked.Add(-age)})
}
