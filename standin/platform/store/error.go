package store

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

// NewError returns an error with a gRPC status code.
func NewError(code int, message string) *Error {
	return &Error{Code: code, Message: message, Text: message}
}

// The gRPC status codes that the store uses.
const (
	CodeInvalidArgument = 3
	CodeNotFound        = 5
	CodeOutOfRange      = 11
)

// HTTPStatus returns the status code of the answer.
func (e *Error) HTTPStatus() int {
	if e.Code == CodeNotFound {
		return http.StatusNotFound
	}
	return http.StatusBadRequest
}
