package relayer

import (
	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/director"
)

// counters are the metrics of a relayer.
type counters struct {
	director.Counters
	batches                  metrics.Counter
	commits, unknown, notRun metrics.Counter
	// overQuota counts batches that were refused because of a team's quota.
	overQuota metrics.Counter
	// waitedForPrimary counts waits for a primary. A batch that is retried may wait
	// more than once.
	waitedForPrimary metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("relayer."+name, r) }
	return counters{
		Counters: director.Counters{
			BoundedReads: c("bounded_reads"), ReplicaReads: c("replica_reads"), ReplicaReadsRejected: c("replica_reads_rejected"), Retries: c("retries"),
		},
		batches: c("batches"), commits: c("commits"), unknown: c("outcomes_unknown"), notRun: c("outcomes_not_run"),
		overQuota: c("over_quota"), waitedForPrimary: c("batches_held"),
	}
}
