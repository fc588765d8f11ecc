package distributor

import (
	"time"

	"marigoldhub.example/hub/internal/approver"
)

// offer is an encoded envelope that was received.
type offer struct {
	encoded []byte
	// born is the local time at which the envelope was first received from the
	// store by any instance, as far as the sender knows.
	born time.Time
}

// held is a proven envelope.
type held struct {
	envelope approver.Envelope
	hash     approver.Hash
	encoded  []byte
	born     time.Time
}

func (h *held) revision() uint64 { return h.envelope.Revision }

// outcome tells what came of a list of offers.
type outcome struct {
	// proven are the newly proven envelopes, owners revisions first.
	proven []*held
	// enforced are the customers' envelopes that came into force.
	enforced []*held
	// outOfForce are proven envelopes that did not come into force.
	outOfForce []unusable
	// refused are envelopes that are not proven.
	refused []error
	// conflicts are proven envelopes with the revision of another proven one.
	conflicts []*held
	// needsOwners is set when an envelope refers to an owners revision that is
	// not known.
	needsOwners bool
}
