package loader

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"marigoldhub.example/hub/internal/examiner"
)

// pairDelay is the time between the two rows of a pair, during which the
// transaction stays open.
const pairDelay = 2 * time.Millisecond

// Workload runs a number of callers until it is stopped.
type Workload struct {
	// History holds the operations of all callers.
	History *History

	mix    Mix
	values atomic.Int64
	keys   int
	stop   context.CancelFunc
	done   chan struct{}
}

// WorkloadConfig describes a [Workload].
type WorkloadConfig struct {
	// Callers is the number of callers.
	Callers int
	// FirstID numbers the first caller; 0 means 1.
	FirstID int
	// Keys is the number of keys of table catalogue that are read; 0 means one
	// per caller.
	Keys int
	// History may be shared with another workload; nil means a new one.
	History *History
	// Seed is the seed of the callers' random sources.
	Seed uint64
	// Target names the instances and how to connect to them.
	Target Target
	// Mix states what the callers do.
	Mix Mix
	// OpTimeout bounds one operation.
	OpTimeout time.Duration
}

func (c WorkloadConfig) withDefaults() WorkloadConfig {
	if c.FirstID == 0 {
		c.FirstID = 1
	}
	if c.Keys == 0 {
		c.Keys = c.Callers
	}
	if c.History == nil {
		c.History = NewHistory()
	}
	return c
}

// StartWorkload starts the callers. They stop when ctx ends or Stop is called.
func StartWorkload(ctx context.Context, cfg WorkloadConfig) *Workload {
	ctx, stop := context.WithCancel(ctx)
	cfg = cfg.withDefaults()
	c := &Workload{History: cfg.History, mix: cfg.Mix, keys: cfg.Keys, stop: stop, done: make(chan struct{})}
	var wg sync.WaitGroup
	for id := cfg.FirstID; id < cfg.FirstID+cfg.Callers; id++ {
		caller := NewCaller(id, cfg.Seed, cfg.Target, c.History, cfg.OpTimeout)
		wg.Go(func() {
			defer caller.Close()
			c.runCaller(ctx, caller)
		})
	}
	go func() {
		wg.Wait()
		close(c.done)
	}()
	return c
}

// Stop waits until every caller has finished its current operation and returns
// all operations of the history.
func (c *Workload) Stop() []examiner.Operation {
	c.stop()
	<-c.done
	return c.History.Operations()
}

// runCaller runs operations until ctx ends. The operations ignore the end of
// ctx, so that stopping does not give the last one an unknown outcome.
func (c *Workload) runCaller(ctx context.Context, caller *Caller) {
	for ctx.Err() == nil {
		if caller.rnd.Float64() < c.mix.SwitchShare {
			caller.SwitchInstance()
		}
		c.runOperation(ctx, caller)
		pause := time.Duration(caller.rnd.ExpFloat64() * float64(c.mix.Pause))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (c *Workload) runOperation(ctx context.Context, caller *Caller) {
	if caller.EnsureConnected(ctx) != nil {
		return
	}
	ctx = context.WithoutCancel(ctx)
	registerKey := fmt.Sprintf("reg-%d", caller.rnd.IntN(max(c.mix.RegisterKeys, 1)))
	anyKey := fmt.Sprintf("own-%d", 1+caller.rnd.IntN(c.keys))
	ownKey := fmt.Sprintf("own-%d", caller.id)
	value := c.values.Add(1)
	rowKey := fmt.Sprintf("row-%d", value)
	switch c.mix.pick(caller.rnd) {
	case registerWrite:
		_, _ = caller.Write(ctx, Register, registerKey, value)
	case registerRead:
		_, _ = caller.Read(ctx, Register, registerKey, 0)
	case catalogueWrite:
		_, _ = caller.Write(ctx, Catalogue, ownKey, value)
	case catalogueRead:
		key := anyKey
		if caller.rnd.IntN(2) == 0 {
			key = ownKey
		}
		_, _ = caller.Read(ctx, Catalogue, key, c.mix.MaxAge)
	case insertRow:
		_, _ = caller.Insert(ctx, rowKey)
	case insertPair:
		_, _ = caller.InsertPair(ctx, rowKey, func() { time.Sleep(pairDelay) })
	case pay:
		c.payUntilDone(ctx, caller, rowKey)
	case echo:
		_, _ = caller.Echo(ctx, value)
	}
}

// payUntilDone repeats a request with the same request key, as a client that
// handles unknown outcomes does, until it is told that the request is done or
// has used up its attempts.
func (c *Workload) payUntilDone(ctx context.Context, caller *Caller, key string) {
	const attempts = 3
	for range attempts {
		op, err := caller.Pay(ctx, key)
		if err == nil || op.Outcome == examiner.Done {
			return
		}
		caller.SwitchInstance()
	}
}
