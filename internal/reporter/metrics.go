package reporter

import (
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxNames limits the database groups and the callers that have metrics of
	// their own, so that the memory for metrics is bounded.
	maxNames = 256
	// otherName is the name whose metrics cover the names beyond maxNames.
	otherName = "other"
	// sampleSize is the number of values that one histogram keeps. The sample
	// decays exponentially with sampleAlpha: the last minutes weigh most.
	sampleSize  = 256
	sampleAlpha = 0.015
)

// Metrics are the metrics of each database group and of each caller. The names
// of groups and callers come from manifests only. It is safe for concurrent use.
type Metrics struct {
	registry metrics.Registry
	groups   boundedMap[*GroupMetrics]
	callers  boundedMap[*CallerMetrics]
	logins   refusalCounters
}

// NewMetrics returns metrics that register themselves with the registry.
func NewMetrics(r metrics.Registry) *Metrics {
	return &Metrics{registry: r, logins: refusalCounters{registry: r, prefix: "login.refusals."}}
}

// Group returns the metrics of a database group.
func (f *Metrics) Group(name string) *GroupMetrics {
	return f.groups.get(name, func(name string) *GroupMetrics {
		prefix := "group." + name + "."
		return &GroupMetrics{
			Connections:         metrics.GetOrRegisterCounter(prefix+"connections", f.registry),
			Acquired:            metrics.GetOrRegisterCounter(prefix+"server_connections_taken", f.registry),
			Waiting:             metrics.GetOrRegisterCounter(prefix+"waiting", f.registry),
			ConnectionWait:      newDurationHistogram(prefix+"connection_wait_us", f.registry),
			Confirmation:        newDurationHistogram(prefix+"confirmation_us", f.registry),
			ConfirmationsFailed: metrics.GetOrRegisterCounter(prefix+"confirmations_failed", f.registry),
			refusalCounters:     refusalCounters{registry: f.registry, prefix: prefix + "refusals."},
		}
	})
}

// Caller returns the metrics of a caller that a manifest names.
func (f *Metrics) Caller(name string) *CallerMetrics {
	return f.callers.get(name, func(name string) *CallerMetrics {
		prefix := "caller." + name + "."
		return &CallerMetrics{
			Connections:     metrics.GetOrRegisterCounter(prefix+"connections", f.registry),
			Acquired:        metrics.GetOrRegisterCounter(prefix+"server_connections_taken", f.registry),
			refusalCounters: refusalCounters{registry: f.registry, prefix: prefix + "refusals."},
		}
	})
}

// CountLoginRefusal counts a refused login. The caller is empty unless it has
// authenticated.
func (f *Metrics) CountLoginRefusal(caller, reason string) {
	f.logins.CountRefusal(reason)
	if caller != "" {
		f.Caller(caller).CountRefusal(reason)
	}
}

// GroupMetrics are the metrics of one database group.
type GroupMetrics struct {
	refusalCounters
	// Connections counts the callers' connections that are open now.
	Connections metrics.Counter
	// Acquired counts server connections that were handed out: one for each
	// statement outside a transaction and one for each transaction.
	Acquired metrics.Counter
	// Waiting counts the requests that wait for a server connection now.
	Waiting metrics.Counter
	// ConnectionWait is the time until a server connection was handed out or
	// refused.
	ConnectionWait DurationHistogram
	// Confirmation is the duration of a confirmation, whether or not it failed.
	Confirmation DurationHistogram
	// ConfirmationsFailed counts confirmations that ended without a result.
	ConfirmationsFailed metrics.Counter
}

// CallerMetrics are the metrics of one caller.
type CallerMetrics struct {
	refusalCounters
	// Connections counts the caller's connections that are open now.
	Connections metrics.Counter
	// Acquired counts server connections that were handed out.
	Acquired metrics.Counter
}

// DurationHistogram is a histogram of durations in microseconds.
type DurationHistogram struct{ metrics.Histogram }

func newDurationHistogram(name string, r metrics.Registry) DurationHistogram {
	return DurationHistogram{metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))}
}

// Add adds one duration.
func (d DurationHistogram) Add(v time.Duration) { d.Update(v.Microseconds()) }

// refusalCounters counts refusals by reason. Reasons must be constants of the
// code, so that their number is bounded.
type refusalCounters struct {
	registry metrics.Registry
	prefix   string
}

// CountRefusal counts a refusal.
func (r refusalCounters) CountRefusal(reason string) {
	metrics.GetOrRegisterCounter(r.prefix+reason, r.registry).Inc(1)
}

// boundedMap maps at most maxNames names to values of their own; all further
// names share one value.
type boundedMap[V any] struct {
	mu     sync.Mutex
	values map[string]V
}

func (n *boundedMap[V]) get(name string, open func(name string) V) V {
	// A dot would let a name from a manifest select metrics of another kind.
	name = strings.ReplaceAll(name, ".", "_")
	n.mu.Lock()
	defer n.mu.Unlock()
	if v, ok := n.values[name]; ok {
		return v
	}
	if len(n.values) >= maxNames {
		name = otherName
		if v, ok := n.values[name]; ok {
			return v
		}
	}
	if n.values == nil {
		n.values = make(map[string]V)
	}
	v := open(name)
	n.values[name] = v
	return v
}
