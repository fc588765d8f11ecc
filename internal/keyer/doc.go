// Package keyer reads key material from files: TLS certificates and keys, HMAC
// keys of session tokens, and passwords.
//
// [TLS] and [HMAC] poll their files every second and load them again when they
// change. If a changed file is not valid, the error is logged and the previous
// content stays in use; valid content takes effect for the next connection or
// token.
//
// A file that holds a secret must not be accessible to group or others. Secrets
// never appear in errors or log lines.
package keyer
