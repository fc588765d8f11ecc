package reporter

import (
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxNames bounds the database groups and the callers that have metrics of
	// their own.
	maxNames = 256
	// otherName collects the figures of the names beyond maxNames.
	otherName = "other"
	// sampleSize bounds the memory of one histogram; the samples of the last
	// minutes weigh most.
	sampleSize  = 256
	sampleAlpha = 0.015
)

// Figures are the metrics of each database group and of each caller. Names
// come from manifests only. It is safe for concurrent use.
type Figures struct {
	registry metrics.Registry
	groups   names[*GroupFigures]
	callers  names[*CallerFigures]
	logins   refusals
}

// NewFigures returns figures that appear in the registry.
func NewFigures(r metrics.Registry) *Figures {
	return &Figures{registry: r, logins: refusals{registry: r, prefix: "login.refusals."}}
}

// Group returns the figures of a database group.
func (f *Figures) Group(name string) *GroupFigures {
	return f.groups.get(name, func(name string) *GroupFigures {
		prefix := "group." + name + "."
		return &GroupFigures{
			Connections:    metrics.GetOrRegisterCounter(prefix+"connections", f.registry),
			Acquired:       metrics.GetOrRegisterCounter(prefix+"server_connections_taken", f.registry),
			Waiting:        metrics.GetOrRegisterCounter(prefix+"waiting", f.registry),
			ConnectionWait: newDurations(prefix+"connection_wait_us", f.registry),
			Confirmation:   newDurations(prefix+"confirmation_us", f.registry),
			Unconfirmed:    metrics.GetOrRegisterCounter(prefix+"confirmations_failed", f.registry),
			refusals:       refusals{registry: f.registry, prefix: prefix + "refusals."},
		}
	})
}

// Caller returns the figures of a caller that a manifest names.
func (f *Figures) Caller(name string) *CallerFigures {
	return f.callers.get(name, func(name string) *CallerFigures {
		prefix := "caller." + name + "."
		return &CallerFigures{
			Connections: metrics.GetOrRegisterCounter(prefix+"connections", f.registry),
			Acquired:    metrics.GetOrRegisterCounter(prefix+"server_connections_taken", f.registry),
			refusals:    refusals{registry: f.registry, prefix: prefix + "refusals."},
		}
	})
}

// RefuseLogin counts a refused login. The caller is empty unless it has
// authenticated.
func (f *Figures) RefuseLogin(caller, reason string) {
	f.logins.Refuse(reason)
	if caller != "" {
		f.Caller(caller).Refuse(reason)
	}
}

// GroupFigures are the metrics of one database group.
type GroupFigures struct {
	refusals
	// Connections of callers that are open now.
	Connections metrics.Counter
	// Acquired counts server connections that were handed out: one for each
	// statement outside a transaction and one for each transaction.
	Acquired metrics.Counter
	// Waiting requests for a server connection now.
	Waiting metrics.Counter
	// ConnectionWait is the time until a server connection was handed out or
	// refused.
	ConnectionWait Durations
	// Confirmation is the time of one confirmation, also of a failed one.
	Confirmation Durations
	// Unconfirmed counts confirmations that ended without an answer.
	Unconfirmed metrics.Counter
}

// CallerFigures are the metrics of one caller.
type CallerFigures struct {
	refusals
	// Connections that are open now.
	Connections metrics.Counter
	// Acquired counts server connections that were handed out.
	Acquired metrics.Counter
}

// Durations is a histogram of durations in microseconds.
type Durations struct{ metrics.Histogram }

func newDurations(name string, r metrics.Registry) Durations {
	return Durations{metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))}
}

// Add adds one duration.
func (d Durations) Add(v time.Duration) { d.Update(v.Microseconds()) }

// refusals counts refusals by reason. Reasons are constants of the code.
type refusals struct {
	registry metrics.Registry
	prefix   string
}

// Refuse counts a refusal.
func (r refusals) Refuse(reason string) {
	metrics.GetOrRegisterCounter(r.prefix+reason, r.registry).Inc(1)
}

// names maps at most maxNames names to values; the rest share one value.
type names[V any] struct {
	mu     sync.Mutex
	values map[string]V
}

func (n *names[V]) get(name string, open func(name string) V) V {
	// A name of a manifest must not end up among the figures of another kind.
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
