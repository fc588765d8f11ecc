package distributor

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/messenger/wire"
)

// Distributor holds the active manifest of one instance. It implements
// checker.CatalogSource. It is safe for concurrent use.
type Distributor struct {
	cfg      Config
	counters counters
	// pushSlots limits the pushes in progress.
	pushSlots chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	done   chan struct{}

	mu      sync.Mutex
	set     *envelopeSet
	changed chan struct{}
	// lastContact is when the store or a peer last answered or called.
	lastContact time.Time
	// synced is set after the initial sync: everything that the store or one
	// peer holds was taken in.
	synced bool
	closed bool
}

var _ checker.CatalogSource = (*Distributor)(nil)

// New starts a distributor. Close stops it.
func New(cfg Config) (*Distributor, error) {
	cfg = cfg.withDefaults()
	s, err := newEnvelopeSet(cfg.Genesis)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Distributor{
		cfg:         cfg,
		counters:    newCounters(cfg.Metrics),
		pushSlots:   make(chan struct{}, maxParallelPushes),
		ctx:         ctx,
		cancel:      cancel,
		done:        make(chan struct{}),
		set:         s,
		changed:     make(chan struct{}),
		lastContact: cfg.Clock.Now(),
	}
	if cfg.Store != nil {
		d.start(d.watchLoop)
		d.start(d.initialSyncLoop)
	}
	if cfg.Mode != EveryInstanceWatches {
		d.start(d.digestLoop)
	}
	return d, nil
}

// start runs the task in a goroutine unless the distributor is closed.
func (d *Distributor) start(task func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		task()
	}()
}

// Close stops all tasks and waits for them.
func (d *Distributor) Close() {
	d.mu.Lock()
	first := !d.closed
	d.closed = true
	d.mu.Unlock()
	if first {
		d.cancel()
		d.tasks.Wait()
		close(d.done)
	}
	<-d.done
}

// Done returns a channel that is closed when the distributor has stopped.
func (d *Distributor) Done() <-chan struct{} { return d.done }

// Register adds the service Manifests to the mux. Peers reach the distributor
// through it.
func (d *Distributor) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterManifests(mux, &service{d})
}

// Catalog implements checker.CatalogSource. It returns the content of the
// active revisions.
func (d *Distributor) Catalog() *checker.Catalog {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.set.catalog
}

// Changed implements checker.CatalogSource. The returned channel is closed when
// another revision of a part becomes active.
func (d *Distributor) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// sleep waits and returns false if the distributor is closed meanwhile.
func (d *Distributor) sleep(t time.Duration) bool {
	select {
	case <-d.ctx.Done():
		return false
	case <-d.cfg.Clock.After(t):
		return true
	}
}

func (d *Distributor) self() enroller.Member { return d.cfg.Directory.Self() }

// markContact notes that the store or a peer was reachable just now.
func (d *Distributor) markContact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastContact = d.cfg.Clock.Now()
}

func (d *Distributor) markSynced() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.synced = true
}

func (d *Distributor) isSynced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.synced
}
