package relayer

import "github.com/rcrowley/go-metrics"

// counters are the metrics of a relayer.
type counters struct {
	batches metrics.Counter
	// bounded counts reads of a stated age, replica those that a replica
	// served.
	bounded, replica metrics.Counter
	// rejected counts replica answers that the status row did not prove.
	rejected                          metrics.Counter
	commits, unknown, notRun, retries metrics.Counter
	// held counts batches that waited for a primary.
	held metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		batches:  metrics.GetOrRegisterCounter("relayer.batches", r),
		bounded:  metrics.GetOrRegisterCounter("relayer.bounded_reads", r),
		replica:  metrics.GetOrRegisterCounter("relayer.replica_reads", r),
		rejected: metrics.GetOrRegisterCounter("relayer.replica_reads_rejected", r),
		commits:  metrics.GetOrRegisterCounter("relayer.commits", r),
		unknown:  metrics.GetOrRegisterCounter("relayer.outcomes_unknown", r),
		notRun:   metrics.GetOrRegisterCounter("relayer.outcomes_not_run", r),
		retries:  metrics.GetOrRegisterCounter("relayer.retries", r),
		held:     metrics.GetOrRegisterCounter("relayer.batches_held", r),
	}
}
