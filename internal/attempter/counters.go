package attempter

import "github.com/rcrowley/go-metrics"

// counters count attempts and refusals.
type counters struct {
	retries, refusals metrics.Counter
	// refusalsWithTime are refused requests whose callers were told when to come back.
	refusalsWithTime metrics.Counter
	// retriesRefused are requests that were not tried again because too many were.
	retriesRefused metrics.Counter

	latency metrics.Histogram
}

// latencySamples bounds the memory of the latency histogram.
const latencySamples = 512

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("dispatcher."+name, r) }
	return counters{
		retries: c("retries"), refusals: c("refusals"), refusalsWithTime: c("refusals_with_time"), retriesRefused: c("retries_refused"),
		latency: metrics.GetOrRegisterHistogram("dispatcher.server_latency_us", r, metrics.NewExpDecaySample(latencySamples, 0.015)),
	}
}
