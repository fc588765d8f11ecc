package loader

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"marigoldhub.example/hub/internal/examiner"
)

// pairPause keeps the transaction of a pair open for a while.
const pairPause = 2 * time.Millisecond

// Crowd is a number of callers that run a mix until stopped.
type Crowd struct {
	History *History

	mix    Mix
	values atomic.Int64
	keys   int
	stop   context.CancelFunc
	done   chan struct{}
}

// CrowdConfig describes a [Crowd].
type CrowdConfig struct {
	Callers int
	// FirstID numbers the first caller; 0 means 1.
	FirstID int
	// Keys is the number of keys of table catalogue that are read; 0 means one
	// for each caller.
	Keys int
	// History is shared with another crowd; nil means a new one.
	History *History
	Seed    uint64
	Target  Target
	Mix     Mix
	// OpTimeout bounds one operation.
	OpTimeout time.Duration
}

func (c CrowdConfig) withDefaults() CrowdConfig {
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

// NewCrowd starts the callers.
func NewCrowd(ctx context.Context, cfg CrowdConfig) *Crowd {
	ctx, stop := context.WithCancel(ctx)
	cfg = cfg.withDefaults()
	c := &Crowd{History: cfg.History, mix: cfg.Mix, keys: cfg.Keys, stop: stop, done: make(chan struct{})}
	var wg sync.WaitGroup
	for id := cfg.FirstID; id < cfg.FirstID+cfg.Callers; id++ {
		caller := NewCaller(id, cfg.Seed, cfg.Target, c.History, cfg.OpTimeout)
		wg.Go(func() {
			defer caller.Close()
			c.drive(ctx, caller)
		})
	}
	go func() {
		wg.Wait()
		close(c.done)
	}()
	return c
}

// Stop lets every caller finish its operation and waits for all of them.
func (c *Crowd) Stop() []examiner.Operation {
	c.stop()
	<-c.done
	return c.History.Operations()
}

// drive runs operations until ctx ends. Operations use a context of their own,
// so that stopping does not turn the last one into an unknown outcome.
func (c *Crowd) drive(ctx context.Context, caller *Caller) {
	for ctx.Err() == nil {
		if caller.rnd.Float64() < c.mix.MoveShare {
			caller.Move()
		}
		c.step(ctx, caller)
		pause := time.Duration(caller.rnd.ExpFloat64() * float64(c.mix.Pause))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (c *Crowd) step(ctx context.Context, caller *Caller) {
	if caller.Connected(ctx) != nil {
		return
	}
	ctx = context.WithoutCancel(ctx)
	registerKey := fmt.Sprintf("reg-%d", caller.rnd.IntN(max(c.mix.RegisterKeys, 1)))
	otherKey := fmt.Sprintf("own-%d", 1+caller.rnd.IntN(c.keys))
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
		key := otherKey
		if caller.rnd.IntN(2) == 0 {
			key = ownKey
		}
		_, _ = caller.Read(ctx, Catalogue, key, c.mix.MaxAge)
	case insertRow:
		_, _ = caller.Insert(ctx, rowKey)
	case insertPair:
		_, _ = caller.Pair(ctx, rowKey, func() { time.Sleep(pairPause) })
	case pay:
		c.payUntilSettled(ctx, caller, rowKey)
	case echo:
		_, _ = caller.Echo(ctx, value)
	}
}

// payUntilSettled repeats a keyed request, as a careful caller does, until it
// is told done or has tried often enough.
func (c *Crowd) payUntilSettled(ctx context.Context, caller *Caller, key string) {
	const attempts = 3
	for range attempts {
		op, err := caller.Pay(ctx, key)
		if err == nil || op.Outcome == examiner.Done {
			return
		}
		caller.Move()
	}
}
