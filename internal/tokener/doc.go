// Package tokener makes and checks session tokens.
//
// A token carries the position of a session's last commit. It is
// authenticated with HMAC-SHA-256 and bound to the caller and the group, so
// that a caller can neither forge a floor nor use one of another caller.
package tokener
