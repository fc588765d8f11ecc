package dispatcher

import "github.com/rcrowley/go-metrics"

// counters count what the dispatcher does.
type counters struct {
	reads, readsAtReplicas, writes, retries, hedges, refusals, unknown metrics.Counter
	// readsLeftZone are reads that left a zone with a replica.
	readsLeftZone metrics.Counter
	// readsPassedOver are reads that were not tried at a replica because it lacks what they need, refusalsWithTime
	// refused reads whose callers were told when to come back.
	readsPassedOver, refusalsWithTime metrics.Counter
	// probeReads are reads that were sent on purpose to a server that gets none otherwise,
	// hedgesNotPaid tries that the budget did not allow.
	probeReads, hedgesNotPaid metrics.Counter
	// retriesRefused are requests that were not tried again because too many were.
	retriesRefused metrics.Counter
	// commitsConfirmed are commits that no primary lease proved, commitsNotProved those
	// that nothing did.
	commitsConfirmed, commitsNotProved metrics.Counter

	latency metrics.Histogram
}

// latencySamples bounds the memory of the latency histogram.
const latencySamples = 512

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("dispatcher."+name, r) }
	return counters{
		reads: c("reads"), readsAtReplicas: c("reads_at_replicas"),
		writes: c("writes"), retries: c("retries"), hedges: c("hedged_reads"), refusals: c("refusals"), unknown: c("unknown_outcomes"),
		commitsConfirmed: c("commits_confirmed"), commitsNotProved: c("commits_not_proved"),
		readsLeftZone:   c("reads_left_zone"),
		readsPassedOver: c("reads_passed_over"), refusalsWithTime: c("refusals_with_time"),
		probeReads: c("probe_reads"), hedgesNotPaid: c("hedges_not_paid"),
		retriesRefused: c("retries_refused"),
		latency:        metrics.GetOrRegisterHistogram("dispatcher.server_latency_us", r, metrics.NewExpDecaySample(latencySamples, 0.015)),
	}
}
