package approver

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"marigoldhub.example/hub/internal/checker"
)

// Domain is the domain separator of envelopes: their signatures and hashes are
// not valid in any other protocol or version.
const Domain = "marigoldhub/envelope/v1"

// Hash is the SHA-256 hash of an envelope's body: everything but its approvals.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Envelope is one revision of a manifest part with its approvals. The slices in
// it must not be changed.
type Envelope struct {
	Part     string
	Revision uint64
	// Predecessor is the hash of the revision that was active when this one was
	// proposed; zero for the first.
	Predecessor Hash
	// OwnersRevision is the revision of the part "owners" whose keys approve;
	// 0 means the genesis keys.
	OwnersRevision uint64
	Content        []byte
	// Approvals are in ascending order of owner and key.
	Approvals []Approval
}

// Approval is the signature of one co-owner over an envelope.
type Approval struct {
	Owner     string
	KeyID     string
	Signature []byte
}

// IsOwners reports whether the envelope belongs to the owners chain.
func (e Envelope) IsOwners() bool { return e.Part == checker.OwnersPart }

// Hash returns the hash of the body.
func (e Envelope) Hash() Hash {
	w := encoder{}
	w.text(Domain)
	e.encodeBody(&w)
	return sha256.Sum256(w.buf)
}

// signedBytes returns the bytes that an approval with the owner's key signs.
func (e Envelope) signedBytes(owner, keyID string) []byte {
	w := encoder{}
	w.text(Domain)
	e.encodeBody(&w)
	w.text(owner)
	w.text(keyID)
	return w.buf
}

// WithApproval returns a copy of the envelope with the approval added.
func (e Envelope) WithApproval(a Approval) Envelope {
	approvals := append(slices.Clone(e.Approvals), a)
	slices.SortFunc(approvals, Approval.compare)
	e.Approvals = approvals
	return e
}

// ApprovalOf returns the owner's approval and whether there is one.
func (e Envelope) ApprovalOf(owner string) (Approval, bool) {
	i := slices.IndexFunc(e.Approvals, func(a Approval) bool { return a.Owner == owner })
	if i < 0 {
		return Approval{}, false
	}
	return e.Approvals[i], true
}

// ApprovingOwners returns the names of the owners who approved.
func (e Envelope) ApprovingOwners() []string {
	var names []string
	for _, a := range e.Approvals {
		names = append(names, a.Owner)
	}
	return names
}

func (a Approval) compare(b Approval) int {
	return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.KeyID, b.KeyID))
}
