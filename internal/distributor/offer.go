package distributor

import (
	"time"

	"marigoldhub.example/hub/internal/approver"
)

// encodedEnvelope is an encoded envelope that was received.
type encodedEnvelope struct {
	encoded []byte
	// firstReceived is the local time at which the envelope was first received from the
	// store by any instance, as far as the sender knows.
	firstReceived time.Time
}

// decodedEnvelope is a proven envelope.
type decodedEnvelope struct {
	envelope      approver.Envelope
	hash          approver.Hash
	encoded       []byte
	firstReceived time.Time
}

func (e *decodedEnvelope) revision() uint64 { return e.envelope.Revision }

// applyResult tells what came of a list of offers.
type applyResult struct {
	// verified are the newly proven envelopes, owners revisions first.
	verified []*decodedEnvelope
	// activated are the customers' envelopes that came into force.
	activated []*decodedEnvelope
	// unusable are proven envelopes that did not come into force.
	unusable []unusableRevision
	// refused are envelopes that are not proven.
	refused []error
	// conflicts are proven envelopes with the revision of another proven one.
	conflicts []*decodedEnvelope
	// needsOwners is set when an envelope refers to an owners revision that is
	// not known.
	needsOwners bool
}
