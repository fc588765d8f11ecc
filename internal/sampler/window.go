package sampler

import (
	"context"
	"strings"
	"time"

	"marigoldhub.example/hub/internal/deployer"
)

// Kinds of links that carry control traffic when there are no callers.
var trafficKinds = []string{"peer", "sql", "store"}

// snapshot holds the counters of an installation at one moment.
type snapshot struct {
	at        time.Time
	processor []time.Duration
	// sent and received are bytes of instances by kind of link.
	sent, received map[string]float64
	metrics        map[string]float64
	storeCalls     map[string]int64
	watches        int
	watchEvents    int64
}

// window holds rates between two snapshots. Values are means per instance and
// second where nothing else is stated.
type window struct {
	seconds float64
	// processorMS is the processor time of each instance in ms/s.
	processorMS    []float64
	sent, received map[string]float64
	// metrics are sums over instances per second.
	metrics map[string]float64
	// storeCalls are calls per second at the store, by kind.
	storeCalls  map[string]float64
	openWatches int
	// watchEvents are the events that the store sends to watches a second.
	watchEvents float64
}

func take(d *deployer.Deployment) (snapshot, error) {
	s := snapshot{
		at: time.Now(), sent: map[string]float64{}, received: map[string]float64{}, metrics: map[string]float64{},
	}
	for _, e := range d.Entries {
		t, err := processorTime(e.PID())
		if err != nil {
			return s, err
		}
		s.processor = append(s.processor, t)
	}
	if err := s.takeBytes(d); err != nil {
		return s, err
	}
	if err := s.takeMetrics(d); err != nil {
		return s, err
	}
	counts, err := d.Platform.Counts()
	s.storeCalls, s.watches, s.watchEvents = counts.Calls, counts.OpenWatches, counts.WatchEvents
	return s, err
}

// takeBytes counts a byte between two instances at both of them.
func (s *snapshot) takeBytes(d *deployer.Deployment) error {
	list, err := d.Links.Bytes()
	if err != nil {
		return err
	}
	for _, u := range list {
		kind, _, _ := strings.Cut(u.Link, ":")
		if kind == "replication" || kind == "caller" {
			continue
		}
		s.sent[kind] += float64(u.ToTarget)
		s.received[kind] += float64(u.ToSource)
		if kind == "peer" {
			s.sent[kind] += float64(u.ToSource)
			s.received[kind] += float64(u.ToTarget)
		}
	}
	return nil
}

func (s *snapshot) takeMetrics(d *deployer.Deployment) error {
	for _, e := range d.Entries {
		m, err := e.Metrics()
		if err != nil {
			return err
		}
		for name, values := range m {
			s.metrics[name] += values["count"]
		}
	}
	return nil
}

// until returns the rates from s to the later snapshot.
func (s snapshot) until(later snapshot) window {
	w := window{
		seconds: later.at.Sub(s.at).Seconds(), sent: map[string]float64{}, received: map[string]float64{},
		metrics: map[string]float64{}, storeCalls: map[string]float64{}, openWatches: later.watches,
	}
	w.watchEvents = float64(later.watchEvents-s.watchEvents) / w.seconds
	n := float64(len(s.processor))
	for i, t := range s.processor {
		w.processorMS = append(w.processorMS, (later.processor[i]-t).Seconds()*1e3/w.seconds)
	}
	for _, kind := range trafficKinds {
		w.sent[kind] = (later.sent[kind] - s.sent[kind]) / w.seconds / n
		w.received[kind] = (later.received[kind] - s.received[kind]) / w.seconds / n
	}
	for name, v := range later.metrics {
		w.metrics[name] = (v - s.metrics[name]) / w.seconds
	}
	for kind, v := range later.storeCalls {
		w.storeCalls[kind] = float64(v-s.storeCalls[kind]) / w.seconds
	}
	return w
}

// observe measures an installation while work runs, and for at least the given
// time.
func observe(ctx context.Context, d *deployer.Deployment, least time.Duration, work func() error) (window, error) {
	before, err := take(d)
	if err != nil {
		return window{}, err
	}
	if err := work(); err != nil {
		return window{}, err
	}
	if err := sleep(ctx, least-time.Since(before.at)); err != nil {
		return window{}, err
	}
	after, err := take(d)
	if err != nil {
		return window{}, err
	}
	return before.until(after), nil
}

func idle() error { return nil }

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (w window) processorMean() float64 { return w.processorSum() / float64(len(w.processorMS)) }

func (w window) processorSum() float64 {
	sum := 0.0
	for _, v := range w.processorMS {
		sum += v
	}
	return sum
}

// bytesOf returns the bytes that an instance sends and receives a second.
func (w window) bytesOf(kind string) float64 { return w.sent[kind] + w.received[kind] }

func (w window) bytes() float64 {
	sum := 0.0
	for _, kind := range trafficKinds {
		sum += w.bytesOf(kind)
	}
	return sum
}

func (w window) bytesSent() float64 {
	sum := 0.0
	for _, kind := range trafficKinds {
		sum += w.sent[kind]
	}
	return sum
}

// instanceStoreCalls returns the store calls of all instances a second by
// kind. Operators' calls are left out.
func (w window) instanceStoreCalls() (total float64, byKind map[string]float64) {
	byKind = map[string]float64{}
	for name, v := range w.metrics {
		if kind, ok := strings.CutPrefix(name, "store.calls."); ok && v > 0 {
			byKind[kind] = v
			total += v
		}
	}
	return total, byKind
}
