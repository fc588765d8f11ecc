package sampler

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/deployer"
	"marigoldhub.example/hub/internal/loader"
)

const (
	callerGroup = "booking"
	// opTimeout bounds one operation of a caller.
	opTimeout = 10 * time.Second
	// connectors open caller connections at the same time.
	connectors = 16
	// activeCallers run statements at the same time.
	activeCallers = 16
	statementTime = 2 * time.Second
	activeTime    = 1500 * time.Millisecond
)

// activeCounts are ascending, because memory that was in use is given back
// late.
var activeCounts = []int{16, 128, 512}

var idleCallers = []int{0, 500, 1000, 2000}

// measureCallers loads one of three instances with callers.
func (s *Sampler) measureCallers(ctx context.Context) error {
	plan := deployer.Council().WithGroups(callerGroup).WithEntries(3)
	return s.withDeployment(ctx, plan, func(d *deployer.Deployment) error {
		c := &callerCost{Sampler: s, d: d, target: directTarget(d)}
		for _, step := range []func(context.Context) error{c.prepare, c.statements, c.promotions, c.idleConnections, c.active} {
			if err := step(ctx); err != nil {
				return err
			}
		}
		return nil
	})
}

// directTarget lets callers reach the first instance without standin-link.
func directTarget(d *deployer.Deployment) loader.Target {
	return loader.Target{
		Addresses: []string{d.Entries[0].DirectAddress}, LocalIP: d.ClientIP(), User: deployer.CallerName,
		Password: deployer.CallerPassword, Database: callerGroup, ConnectTimeout: 5 * time.Second,
	}
}

// callerCost measures what callers cost the instances.
type callerCost struct {
	*Sampler
	d      *deployer.Deployment
	target loader.Target
	// idleMS is the processor time of all instances without callers, in ms/s.
	idleMS float64
}

func (c *callerCost) prepare(ctx context.Context) error {
	w, err := observe(ctx, c.d, shortIdleTime, idle)
	if err != nil {
		return err
	}
	c.idleMS = w.processorSum()
	caller := c.caller(1)
	defer caller.Close()
	if err := caller.CreateTables(ctx); err != nil {
		return err
	}
	_, err = caller.Write(ctx, loader.Catalogue, "k", 1)
	return err
}

func (c *callerCost) caller(id int) *loader.Caller {
	return loader.NewCaller(id, 1, c.target, loader.NewHistory(), opTimeout)
}

// statements prints the processor time of all instances for one statement.
func (c *callerCost) statements(ctx context.Context) error {
	kinds := []struct {
		name string
		run  func(context.Context, *loader.Caller, int) error
	}{
		{"strict_read", func(ctx context.Context, caller *loader.Caller, _ int) error {
			_, err := caller.Read(ctx, loader.Register, "k", 0)
			return err
		}},
		{"bounded_read", func(ctx context.Context, caller *loader.Caller, _ int) error {
			_, err := caller.Read(ctx, loader.Catalogue, "k", c.d.Plan.MaxAge)
			return err
		}},
		{"write", func(ctx context.Context, caller *loader.Caller, n int) error {
			_, err := caller.Write(ctx, loader.Register, fmt.Sprint("k", n), int64(n))
			return err
		}},
	}
	for _, k := range kinds {
		if err := c.statementKind(ctx, k.name, k.run); err != nil {
			return err
		}
	}
	return c.newConnections(ctx)
}

func (c *callerCost) statementKind(ctx context.Context, name string, run func(context.Context, *loader.Caller, int) error) error {
	var done, failed atomic.Int64
	w, err := c.load(ctx, activeCallers, statementTime, func(ctx context.Context, caller *loader.Caller, n int) {
		if run(ctx, caller, n) != nil {
			failed.Add(1)
			return
		}
		done.Add(1)
	})
	if err != nil {
		return err
	}
	if done.Load() == 0 {
		return errors.Errorf("no %s succeeded", name)
	}
	rate := float64(done.Load()) / w.seconds
	c.number("processor_us_per_"+name, (w.processorSum()-c.idleMS)*1e3/rate)
	c.number("processor_us_per_"+name+"_serving_instance", (w.processorMS[0]-c.idleMS/3)*1e3/rate)
	c.number(name+"s_per_s", rate)
	c.number(name+"s_failed", float64(failed.Load()))
	return nil
}

// newConnections prints the processor time of the instance for one login
// (SCRAM-SHA-256).
func (c *callerCost) newConnections(ctx context.Context) error {
	var done atomic.Int64
	w, err := c.load(ctx, activeCallers, statementTime, func(ctx context.Context, caller *loader.Caller, _ int) {
		caller.Close()
		if caller.EnsureConnected(ctx) == nil {
			done.Add(1)
		}
	})
	if err != nil {
		return err
	}
	rate := float64(done.Load()) / w.seconds
	c.number("processor_us_per_new_connection", (w.processorSum()-c.idleMS)*1e3/rate)
	c.number("new_connections_per_s", rate)
	return nil
}

// active measures memory over the number of callers that run bounded reads all
// the time.
func (c *callerCost) active(ctx context.Context) error {
	memory := Slope{Name: "memory_kb_of_active_connections", Unit: "KB", Per: "connection"}
	for _, n := range activeCounts {
		var kb float64
		_, err := c.load(ctx, n, activeTime, func(ctx context.Context, caller *loader.Caller, _ int) {
			_, _ = caller.Read(ctx, loader.Catalogue, "k", c.d.Plan.MaxAge)
		}, func() (err error) {
			kb, err = residentKB(c.d.Entries[0].PID())
			return err
		})
		if err != nil {
			return err
		}
		memory.Points = append(memory.Points, Point{float64(n), kb})
	}
	c.slope(memory)
	return nil
}

// load lets n callers repeat an operation for the given time. The checks run
// while the callers are still connected.
func (c *callerCost) load(ctx context.Context, n int, length time.Duration, run func(context.Context, *loader.Caller, int), checks ...func() error) (window, error) {
	var callers []*loader.Caller
	for id := range n {
		caller := c.caller(id)
		defer caller.Close()
		if err := caller.EnsureConnected(ctx); err != nil {
			return window{}, err
		}
		callers = append(callers, caller)
	}
	return observe(ctx, c.d, length, func() error {
		end := time.Now().Add(length)
		var tasks sync.WaitGroup
		for _, caller := range callers {
			tasks.Go(func() {
				for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
					run(ctx, caller, n)
				}
			})
		}
		tasks.Wait()
		for _, check := range checks {
			if err := check(); err != nil {
				return err
			}
		}
		return nil
	})
}

// idleConnections measures memory and processor time over the number of idle
// caller connections.
func (c *callerCost) idleConnections(ctx context.Context) error {
	memory := Slope{Name: "memory_kb_of_idle_connections", Unit: "KB", Per: "connection"}
	processor := Slope{Name: "processor_us_per_s_of_idle_connections", Unit: "us/s", Per: "connection"}
	var callers []*loader.Caller
	defer func() {
		for _, caller := range callers {
			caller.SwitchInstance()
		}
	}()
	for _, n := range idleCallers {
		more, err := c.connect(ctx, len(callers), n-len(callers))
		callers = append(callers, more...)
		if err != nil {
			return err
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		w, err := observe(ctx, c.d, shortIdleTime, idle)
		if err != nil {
			return err
		}
		kb, err := residentKB(c.d.Entries[0].PID())
		if err != nil {
			return err
		}
		memory.Points = append(memory.Points, Point{float64(n), kb})
		processor.Points = append(processor.Points, Point{float64(n), w.processorMS[0] * 1e3})
	}
	c.slope(memory)
	c.slope(processor)
	return nil
}

func (c *callerCost) connect(ctx context.Context, first, n int) ([]*loader.Caller, error) {
	callers := make([]*loader.Caller, n)
	fails := make([]error, n)
	places := make(chan struct{}, connectors)
	var tasks sync.WaitGroup
	for i := range callers {
		callers[i] = c.caller(first + i)
		places <- struct{}{}
		tasks.Go(func() {
			defer func() { <-places }()
			fails[i] = callers[i].EnsureConnected(ctx)
		})
	}
	tasks.Wait()
	return callers, errors.Join(fails...)
}
