package approver

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// ApprovalSource supplies the approvals of one key.
type ApprovalSource interface {
	// Key returns the public key. Its ID is always set.
	Key() OwnerKey
	// Approve returns the approval of the envelope in the owner's name.
	Approve(e Envelope, owner string) Approval
}

var (
	_ ApprovalSource = Signer{}
	_ ApprovalSource = SignedApproval{}
)

// SignedApproval is an approval that was signed elsewhere, for example by an
// operator who uses the administration API. Like every approval it is verified
// before it is stored.
type SignedApproval struct {
	KeyID     string `json:"key_id"`
	Signature []byte `json:"signature"`
}

// ParseSignedApproval decodes the JSON form; the signature is in base64.
func ParseSignedApproval(data []byte) (SignedApproval, error) {
	var a SignedApproval
	if err := json.Unmarshal(data, &a); err != nil {
		return a, errors.Wrap(err, "approval")
	}
	if a.KeyID == "" || len(a.Signature) == 0 {
		return a, errors.New("approval needs key_id and signature")
	}
	return a, nil
}

// Key implements [ApprovalSource]. Only the ID is set.
func (a SignedApproval) Key() OwnerKey { return OwnerKey{ID: a.KeyID} }

// Approve implements [ApprovalSource].
func (a SignedApproval) Approve(_ Envelope, owner string) Approval {
	return Approval{Owner: owner, KeyID: a.KeyID, Signature: a.Signature}
}
