package dispatcher

import "github.com/rcrowley/go-metrics"

// counters count what the dispatcher does.
type counters struct {
	reads, readsAtReplicas, writes, hedges metrics.Counter
	// readsLeftZone are reads that left a zone with a replica.
	readsLeftZone metrics.Counter
	// hedgesNotPaid are tries that the budget did not allow.
	hedgesNotPaid metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("dispatcher."+name, r) }
	return counters{
		reads: c("reads"), readsAtReplicas: c("reads_at_replicas"),
		writes: c("writes"), hedges: c("hedged_reads"),
		readsLeftZone: c("reads_left_zone"),
		hedgesNotPaid: c("hedges_not_paid"),
	}
}
