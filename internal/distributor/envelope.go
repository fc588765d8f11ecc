package distributor

import (
	"time"

	"marigoldhub.example/hub/internal/approver"
)

// encodedEnvelope is an envelope as it is sent and received.
type encodedEnvelope struct {
	encoded []byte
	// firstReceived is the local time at which any instance first received the
	// envelope from the store, as far as the sender knows.
	firstReceived time.Time
}

// decodedEnvelope is an envelope with its encoding. It is verified once an
// envelopeSet holds it.
type decodedEnvelope struct {
	envelope      approver.Envelope
	hash          approver.Hash
	encoded       []byte
	firstReceived time.Time
}

func (e *decodedEnvelope) revision() uint64 { return e.envelope.Revision }

// applyResult tells what an envelopeSet did with a list of envelopes.
type applyResult struct {
	// verified are the newly verified envelopes, owners revisions first.
	verified []*decodedEnvelope
	// activated are the customers' envelopes that became active.
	activated []*decodedEnvelope
	// unusable are verified envelopes that did not become active.
	unusable []unusableRevision
	// refused are the errors of envelopes that could not be verified.
	refused []error
	// conflicts are verified envelopes with the revision of another verified
	// one and different content.
	conflicts []*decodedEnvelope
	// needsOwners is set if an envelope refers to an owners revision that is
	// not known.
	needsOwners bool
}
