package platform

import "net/http"

// Error is an error of the store in the form of the gateway.
type Error struct {
	// Code is the gRPC status code.
	Code    int    `json:"code"`
	Message string `json:"message"`
	// Text repeats Message, as the gateway does.
	Text string `json:"error"`
}

func (e *Error) Error() string { return e.Message }

func newError(code int, message string) *Error {
	return &Error{Code: code, Message: message, Text: message}
}

// The gRPC status codes that the store uses.
const (
	codeInvalidArgument = 3
	codeNotFound        = 5
	codeOutOfRange      = 11
)

func (e *Error) status() int {
	if e.Code == codeNotFound {
		return http.StatusNotFound
	}
	return http.StatusBadRequest
}
