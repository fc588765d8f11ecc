package sampler

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/deployer"
)

var (
	instanceCounts = []int{4, 8, 16, 32}
	groupCounts    = []int{1, 3, 9}
)

const (
	// changeTime is the length of a window with manifest changes.
	changeTime = 4 * time.Second
	// changesPerWindow is the number of changes in it.
	changesPerWindow = 40
)

// curves collects points of several quantities in the order of first use.
type curves struct {
	list []*Slope
	per  string
}

func (c *curves) add(name, unit string, x, y float64) {
	for _, sl := range c.list {
		if sl.Name == name {
			sl.Points = append(sl.Points, Point{x, y})
			return
		}
	}
	c.list = append(c.list, &Slope{Name: name, Unit: unit, Per: c.per, Points: []Point{{x, y}}})
}

func (c *curves) printTo(s *Sampler) {
	for _, sl := range c.list {
		s.slope(*sl)
	}
}

// addIdle adds what an idle installation costs.
func (c *curves) addIdle(prefix string, x float64, w window) {
	c.add(prefix+"processor_ms_per_s", "ms/s", x, w.processorMean())
	c.add(prefix+"control_bytes_per_s", "B/s", x, w.bytes())
	c.add(prefix+"control_bytes_sent_per_s", "B/s", x, w.bytesSent())
	for _, kind := range trafficKinds {
		c.add(prefix+"control_bytes_per_s_"+kind, "B/s", x, w.bytesOf(kind))
	}
}

// addStore adds the store calls of all instances.
func (c *curves) addStore(prefix string, x float64, w window) {
	total, byKind := w.instanceStoreCalls()
	c.add(prefix+"store_calls_per_s", "calls/s", x, total)
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		c.add(prefix+"store_calls_per_s_"+kind, "calls/s", x, byKind[kind])
	}
	c.add(prefix+"store_open_watches", "watches", x, float64(w.openWatches))
	c.add(prefix+"store_watch_events_per_s", "events/s", x, w.watchEvents)
}

// measureInstances measures idle installations and installations with manifest
// changes over the number of instances in one cell.
func (s *Sampler) measureInstances(ctx context.Context) error {
	c := &curves{per: "instance"}
	for _, n := range instanceCounts {
		plan := deployer.Council().WithGroups(callerGroup).WithEntries(n)
		err := s.withDeployment(ctx, plan, func(d *deployer.Deployment) error { return s.sampleCell(ctx, c, "", d) })
		if err != nil {
			return err
		}
	}
	c.printTo(s)
	return nil
}

// measureBaselineInstances measures the same when every instance watches the
// store. All sizes run at the same time, so only counts are comparable.
func (s *Sampler) measureBaselineInstances(ctx context.Context) error {
	plan := deployer.Council().WithGroups(callerGroup)
	plan.Distribution = baselineDistribution
	c := &curves{per: "instance"}
	var deployments []*deployer.Deployment
	defer func() {
		for _, d := range deployments {
			d.Close()
		}
	}()
	for _, n := range instanceCounts {
		d, err := s.start(ctx, plan.WithEntries(n))
		if err != nil {
			return err
		}
		deployments = append(deployments, d)
	}
	idles, busy := make([]window, len(deployments)), make([]window, len(deployments))
	fails := make([]error, len(deployments))
	var tasks sync.WaitGroup
	for i, d := range deployments {
		tasks.Go(func() {
			if idles[i], fails[i] = observe(ctx, d, idleTime, idle); fails[i] != nil {
				return
			}
			busy[i], fails[i] = observe(ctx, d, changeTime, func() error { return change(ctx, d, changesPerWindow) })
		})
	}
	tasks.Wait()
	for i, n := range instanceCounts {
		c.addStore("baseline_idle_", float64(n), idles[i])
		c.add("baseline_idle_control_bytes_per_s_peer", "B/s", float64(n), idles[i].bytesOf("peer"))
		c.addStore("baseline_changing_", float64(n), busy[i])
	}
	c.printTo(s)
	return errors.Join(fails...)
}

// sampleCell takes an idle window and one with changes.
func (s *Sampler) sampleCell(ctx context.Context, c *curves, prefix string, d *deployer.Deployment) error {
	x := float64(len(d.Entries))
	still, err := observe(ctx, d, idleTime, idle)
	if err != nil {
		return err
	}
	c.addIdle(prefix+"idle_", x, still)
	c.addStore(prefix+"idle_", x, still)
	c.add(prefix+"idle_heartbeats_per_s", "messages/s", x, still.metrics["enroller.heartbeats_sent"]/x)
	c.add(prefix+"idle_digests_per_s", "messages/s", x, still.metrics["manifest.digests"]/x)
	c.add(prefix+"idle_list_calls_per_s", "calls/s", x, still.storeCalls["instances"])
	memory, err := meanResidentKB(d)
	if err != nil {
		return err
	}
	c.add(prefix+"idle_memory_kb", "KB", x, memory)
	changing, err := observe(ctx, d, changeTime, func() error { return change(ctx, d, changesPerWindow) })
	if err != nil {
		return err
	}
	c.addStore(prefix+"changing_", x, changing)
	perChange := changing.seconds / changesPerWindow
	c.add(prefix+"processor_ms_per_change", "ms", x, (changing.processorMean()-still.processorMean())*perChange)
	c.add(prefix+"control_bytes_per_change", "B", x, (changing.bytes()-still.bytes())*perChange)
	return nil
}

// change puts n manifests in force that differ in the age of a read rule.
func change(ctx context.Context, d *deployer.Deployment, n int) error {
	for range n {
		if _, err := d.Publish(ctx, nextManifest(d)); err != nil {
			return err
		}
	}
	return nil
}

func meanResidentKB(d *deployer.Deployment) (float64, error) {
	sum := 0.0
	for _, e := range d.Entries {
		kb, err := residentKB(e.PID())
		if err != nil {
			return 0, err
		}
		sum += kb
	}
	return sum / float64(len(d.Entries)), nil
}

// measureGroups measures idle installations of eight instances over the number
// of database groups.
func (s *Sampler) measureGroups(ctx context.Context) error {
	c := &curves{per: "group"}
	for _, n := range groupCounts {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("group%d", i+1))
		}
		err := s.withDeployment(ctx, deployer.Council().WithGroups(names...), func(d *deployer.Deployment) error {
			w, err := observe(ctx, d, idleTime, idle)
			if err != nil {
				return err
			}
			c.addIdle("groups_idle_", float64(n), w)
			memory, err := meanResidentKB(d)
			c.add("groups_idle_memory_kb", "KB", float64(n), memory)
			return err
		})
		if err != nil {
			return err
		}
	}
	c.printTo(s)
	return nil
}
