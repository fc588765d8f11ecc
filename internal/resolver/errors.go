package resolver

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes of the proxy's own errors.
const (
	// CodeNotRun states that the request did not run and can be repeated.
	CodeNotRun = "40001"
	// CodeUnknown states that the outcome of the request is unknown.
	CodeUnknown = "08007"
	// CodeAlreadyRan states that a request with the same request key has run.
	CodeAlreadyRan = "MG001"
	// CodeQuotaExceeded states that the request did not run because the team's quota is used
	// up or cannot be counted. It is not CodeNotRun, which drivers repeat at once.
	CodeQuotaExceeded      = "53400"
	CodeProtocolViolation  = "08P01"
	CodeNotSupported       = "0A000"
	CodeTooManyConnections = "53300"
	CodeOutOfMemory        = "53200"
	CodeTooComplex         = "54001"
	CodeLimitExceeded      = "54000"
	CodeShutdown           = "57P01"
	CodeCanceled           = "57014"
	CodeFailedTransaction  = "25P02"
	CodeNoTransaction      = "25P01"
	CodeReadOnly           = "25006"
	CodeUniqueViolation    = "23505"
	CodeInvalidValue       = "22023"
	CodeUnknownSetting     = "42704"
	CodeUnknownStatement   = "26000"
	CodeUnknownPortal      = "34000"
	CodeInvalidLogin       = "28000"
	CodeInvalidPassword    = "28P01"
	CodeUnknownDatabase    = "3D000"
)

// Error returns an error response of the proxy with severity ERROR.
func Error(code, message, hint string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message, Hint: hint,
	}
}

// Fatal returns an error response of the proxy with severity FATAL, after which the
// caller's connection is closed.
func Fatal(code, message string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: message}
}

// NotRunError returns an error response which states that the request did not run.
func NotRunError(why string) *pgproto3.ErrorResponse {
	return Error(CodeNotRun, "request was not run: "+why, "The request had no effect and can be repeated.")
}

// QuotaError returns an error response which states that the request did not run because of
// the quota of the caller's team, and after which time it should be repeated.
func QuotaError(why string, after time.Duration) *pgproto3.ErrorResponse {
	return Error(CodeQuotaExceeded, fmt.Sprintf("request was not run: quota: %s, retry in %d ms", why, after.Milliseconds()),
		"The request had no effect and can be repeated after that time.")
}

// UnknownError returns an error response which states that the outcome of the
// request is unknown.
func UnknownError(why string) *pgproto3.ErrorResponse {
	return Error(CodeUnknown, "outcome of the request is unknown: "+why,
		"A request with marigold.request_key can be repeated, or its outcome read with SHOW marigold.request_outcome.")
}

// ProvesNotRun reports whether a server's error proves that the statement did not
// run and may run at another server.
func ProvesNotRun(e *pgproto3.ErrorResponse) bool {
	return e.Code == CodeReadOnly || e.Code == CodeTooManyConnections
}

// IsFatal reports whether the backend server closes the connection after this error.
func IsFatal(e *pgproto3.ErrorResponse) bool {
	severity := e.SeverityUnlocalized
	if severity == "" {
		severity = e.Severity
	}
	return severity == "FATAL" || severity == "PANIC"
}
