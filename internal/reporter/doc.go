// Package reporter serves the administration API and the health checks of an
// entry instance over HTTP, and holds the metrics per database group and per
// caller.
//
// The API reads the state, the timeline and the metrics of the instance and
// carries out the proposal operations for manifests; no call adjusts the
// running instance. It is served on the administration port, over mutual TLS if
// TLS is configured.
//
// Health checks are served on the operators' port, which the load balancer also
// uses; they disclose no state except the reason why an instance is not ready.
package reporter
