// Package keyer reads key material from files: TLS certificates and keys,
// HMAC keys of session tokens, and passwords.
//
// Files are read again when they change. A changed file that is not valid is
// reported and the previous content stays in use. A file that holds a secret
// must not be accessible to group or others. Secrets never appear in errors or
// log lines.
package keyer
