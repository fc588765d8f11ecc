package approver

import (
	"fmt"
	"strings"
)

// Reason tells why an envelope does not verify.
type Reason int

// Reasons of a VerifyError.
const (
	// ReasonEncoding means that the bytes are not a canonical envelope.
	ReasonEncoding Reason = iota + 1
	// ReasonUnknownOwner means that an approval names no co-owner of the
	// owners revision.
	ReasonUnknownOwner
	// ReasonUnknownKey means that the approval's key does not belong to its
	// owner in the owners revision.
	ReasonUnknownKey
	// ReasonSignature means that a signature does not match.
	ReasonSignature
	// ReasonMissingOwner means that fewer than two co-owners approved.
	ReasonMissingOwner
	// ReasonOwnersRevision means that the owners revision is not known. It may
	// become known later.
	ReasonOwnersRevision
	// ReasonPredecessor means that the envelope does not extend the owners
	// chain.
	ReasonPredecessor
	// ReasonContent means that the content does not pass the checks.
	ReasonContent
)

var reasonTexts = map[Reason]string{
	ReasonEncoding:       "not a canonical envelope",
	ReasonUnknownOwner:   "approval of an unknown owner",
	ReasonUnknownKey:     "approval with an unknown key",
	ReasonSignature:      "signature does not match",
	ReasonMissingOwner:   "approvals of two different co-owners are required",
	ReasonOwnersRevision: "owners revision is not known",
	ReasonPredecessor:    "does not follow the newest owners revision",
	ReasonContent:        "content does not pass the checks",
}

// String returns a short description.
func (r Reason) String() string { return reasonTexts[r] }

// VerifyError means that an envelope does not verify.
type VerifyError struct {
	Reason Reason
	// Part and Revision are empty when the bytes could not be decoded.
	Part     string
	Revision uint64
	Detail   string
}

// Error returns the part and revision, the reason and the detail.
func (e *VerifyError) Error() string {
	text := e.Reason.String()
	if e.Part != "" {
		text = fmt.Sprintf("part %q revision %d: %s", e.Part, e.Revision, text)
	}
	if e.Detail == "" {
		return text
	}
	return text + ": " + e.Detail
}

// Is reports whether target is a VerifyError with the same reason and with
// nothing else set, so that errors.Is selects by reason.
func (e *VerifyError) Is(target error) bool {
	t, ok := target.(*VerifyError)
	return ok && *t == VerifyError{Reason: e.Reason}
}

func encodingError(detail string) error {
	return &VerifyError{Reason: ReasonEncoding, Detail: detail}
}

func (e Envelope) verifyError(reason Reason, detail string) error {
	return &VerifyError{Reason: reason, Part: e.Part, Revision: e.Revision, Detail: detail}
}

// ConflictError means that an operation did not take effect because the state
// of the part was not, or is no longer, what the operation requires.
type ConflictError struct {
	Part string
	// Changes says what was found, one sentence each.
	Changes []string
}

// Error returns the part and what was found.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("part %q: %s", e.Part, strings.Join(e.Changes, "; "))
}
