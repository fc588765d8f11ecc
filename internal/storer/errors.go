package storer

import (
	"errors"
	"fmt"
)

var (
	// ErrUnavailable means that a read or the start of a watch got no usable
	// response, or that a write certainly had no effect, for example because it
	// was not sent.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrLeaseNotFound means that the lease does not exist or has expired.
	ErrLeaseNotFound = errors.New("lease does not exist")
	// ErrTooLarge means that a value exceeds MaxValueSize, or that a response
	// exceeds the client's limit.
	ErrTooLarge = fmt.Errorf("value exceeds %d bytes", MaxValueSize)
	// ErrWatchClosed means that the store ended the watch.
	ErrWatchClosed = errors.New("watch ended")
)

// UnknownOutcomeError means that a write may or may not have taken effect, or
// may still take effect.
type UnknownOutcomeError struct {
	// Call is the kind of call.
	Call string
	// Cause is the error of the call.
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of %s is unknown: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// IsUnknownOutcome reports whether the error is an UnknownOutcomeError.
func IsUnknownOutcome(err error) bool {
	var u *UnknownOutcomeError
	return errors.As(err, &u)
}

// CompactedError means that a watch asked for revisions that the store has
// discarded.
type CompactedError struct {
	// Revision is the oldest revision that is still available. The store of package
	// platform does not report it; there it is the revision that was asked for.
	Revision int64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("store is compacted up to revision %d", e.Revision)
}

// ResponseError is an error response of the etcd v3 JSON gateway.
type ResponseError struct {
	// Call is the kind of call.
	Call string
	// Status is the HTTP status; Code is the gRPC code.
	Status  int
	Code    int
	Message string
}

func (e *ResponseError) Error() string {
	return fmt.Sprintf("store refused %s: %s (status %d, code %d)", e.Call, e.Message, e.Status, e.Code)
}

// gRPC status codes that the gateway reports.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codePermissionDenied  = 7
	codeResourceExhausted = 8
	codeOutOfRange        = 11
	codeUnimplemented     = 12
	codeUnauthenticated   = 16
)

// isDefinite reports whether the store refused the call before executing it.
func (e *ResponseError) isDefinite() bool {
	switch e.Code {
	case codeInvalidArgument, codeNotFound, codePermissionDenied, codeResourceExhausted,
		codeOutOfRange, codeUnimplemented, codeUnauthenticated:
		return true
	}
	return false
}
