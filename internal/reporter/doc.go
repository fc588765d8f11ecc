// Package reporter serves the administration API and the health checks of an
// entry instance.
//
// The API reads state and handles proposals; it has no call that adjusts the
// running instance. Health checks are served on the operators' port, which
// the balancer also uses, and carry no state. Everything else is served on the
// administration port over mutual TLS when TLS is configured.
package reporter
