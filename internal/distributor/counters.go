package distributor

import "github.com/rcrowley/go-metrics"

type counters struct {
	inForce, refused, conflicts, outOfForce metrics.Counter
	pushes, pushErrors, digests, fetches    metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("manifest."+name, r) }
	return counters{
		inForce:    counter("in_force"),
		refused:    counter("envelopes_refused"),
		conflicts:  counter("conflicts"),
		outOfForce: counter("out_of_force"),
		pushes:     counter("pushes"),
		pushErrors: counter("push_errors"),
		digests:    counter("digests"),
		fetches:    counter("fetches"),
	}
}
