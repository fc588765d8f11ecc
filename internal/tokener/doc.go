// Package tokener signs and verifies session tokens.
//
// A token carries the log position of a session's last commit, so that the
// session can continue on another instance and still read its own writes. It is
// authenticated with HMAC-SHA-256 and bound to the caller and the group of
// backend servers: a caller can neither forge a position nor use a token of
// another caller.
package tokener
