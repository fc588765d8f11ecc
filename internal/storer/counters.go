package storer

import "github.com/rcrowley/go-metrics"

// Kinds of calls. They are part of the names of metrics.
const (
	callRange          = "range"
	callTxn            = "txn"
	callLeaseGrant     = "lease_grant"
	callLeaseKeepAlive = "lease_keepalive"
	callLeaseRevoke    = "lease_revoke"
	callWatch          = "watch"
)

var callPaths = map[string]string{
	callRange:          "/v3/kv/range",
	callTxn:            "/v3/kv/txn",
	callLeaseGrant:     "/v3/lease/grant",
	callLeaseKeepAlive: "/v3/lease/keepalive",
	callLeaseRevoke:    "/v3/lease/revoke",
	callWatch:          "/v3/watch",
}

// counters count calls by kind as "store.calls.<kind>" and failed ones as
// "store.errors.<kind>". sentBytes and receivedBytes count bytes of bodies.
type counters struct {
	calls, errors            map[string]metrics.Counter
	sentBytes, receivedBytes metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	c := counters{
		calls:         map[string]metrics.Counter{},
		errors:        map[string]metrics.Counter{},
		sentBytes:     metrics.GetOrRegisterCounter("store.sent_bytes", r),
		receivedBytes: metrics.GetOrRegisterCounter("store.received_bytes", r),
	}
	for kind := range callPaths {
		c.calls[kind] = metrics.GetOrRegisterCounter("store.calls."+kind, r)
		c.errors[kind] = metrics.GetOrRegisterCounter("store.errors."+kind, r)
	}
	return c
}
