package distributor

import "github.com/rcrowley/go-metrics"

// counters are the metrics "manifest.*".
type counters struct {
	activations, refused, conflicts, unusable metrics.Counter
	pushes, pushErrors, digests, fetches      metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("manifest."+name, r) }
	return counters{
		activations: counter("in_force"),
		refused:     counter("envelopes_refused"),
		conflicts:   counter("conflicts"),
		unusable:    counter("out_of_force"),
		pushes:      counter("pushes"),
		pushErrors:  counter("push_errors"),
		digests:     counter("digests"),
		fetches:     counter("fetches"),
	}
}
