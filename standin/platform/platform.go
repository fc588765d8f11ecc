package platform

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/standin/platform/store"
)

// expiryInterval is the time between checks for expired leases.
const expiryInterval = 50 * time.Millisecond

// Platform is a running platform stand-in.
type Platform struct {
	cfg       Config
	kv        *store.Store
	instances directory
	counts    counter
	slow      atomic.Int64
	lose      atomic.Int64
	log       *logrus.Logger

	downMu sync.Mutex
	// up is canceled when the store goes down, and ends its watches.
	up     context.Context
	goDown context.CancelFunc

	servers  []*http.Server
	addr     string
	ctrlAddr string
	tasks    sync.WaitGroup
	done     chan struct{}
	once     sync.Once
}

// Start starts a platform stand-in.
func Start(cfg Config) (*Platform, error) {
	p := &Platform{cfg: cfg, kv: store.New(), done: make(chan struct{}), log: cfg.Log}
	if p.log == nil {
		p.log = logrus.StandardLogger()
	}
	p.instances.setLag(cfg.PublicationLag)
	p.up, p.goDown = context.WithCancel(context.Background())
	var err error
	if p.addr, err = p.serve(cmp.Or(cfg.Listen, "127.0.0.1:0"), p.handler()); err != nil {
		return nil, err
	}
	if cfg.Control != "" {
		if p.ctrlAddr, err = p.serve(cfg.Control, p.controlHandler()); err != nil {
			p.Close()
			return nil, err
		}
	}
	p.tasks.Add(1)
	go p.expireLeases()
	return p, nil
}

func (p *Platform) serve(addr string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	p.servers = append(p.servers, srv)
	p.tasks.Add(1)
	go func() {
		defer p.tasks.Done()
		srv.Serve(ln)
	}()
	return ln.Addr().String(), nil
}

// expireLeases deletes the keys of expired leases, so that watches hear of
// them.
func (p *Platform) expireLeases() {
	defer p.tasks.Done()
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-ticker.C:
			p.kv.Expire()
		}
	}
}

// Addr returns the address of store and instance list.
func (p *Platform) Addr() string { return p.addr }

// ControlAddr returns the address of the control port, empty without one.
func (p *Platform) ControlAddr() string { return p.ctrlAddr }

// Done is closed when the platform has stopped.
func (p *Platform) Done() <-chan struct{} { return p.done }

// SetDown starts or ends an outage of the store. Calls and watches end with a
// closed connection; the instance list stays available.
func (p *Platform) SetDown(on bool) {
	p.downMu.Lock()
	defer p.downMu.Unlock()
	switch {
	case on:
		p.goDown()
	case p.up.Err() != nil:
		p.up, p.goDown = context.WithCancel(context.Background())
	}
}

func (p *Platform) upContext() context.Context {
	p.downMu.Lock()
	defer p.downMu.Unlock()
	return p.up
}

// SetSlow delays each call and each watch message by d.
func (p *Platform) SetSlow(d time.Duration) { p.slow.Store(int64(d)) }

// LoseAnswers makes the next count writes take effect and close the connection
// without an answer.
func (p *Platform) LoseAnswers(count int) { p.lose.Store(int64(count)) }

// SetStale makes range requests answer with the state of this moment, until it
// is unset.
func (p *Platform) SetStale(on bool) { p.kv.SetStale(on) }

// SetPublicationLag sets the age at which a new instance list is published.
func (p *Platform) SetPublicationLag(d time.Duration) { p.instances.setLag(d) }

// SetInstances replaces the instance list.
func (p *Platform) SetInstances(list []Instance) { p.instances.set(list) }

// Counts returns the calls so far.
func (p *Platform) Counts() Counts { return p.counts.snapshot() }

// Close stops the platform at once.
func (p *Platform) Close() {
	p.once.Do(func() {
		close(p.done)
		p.SetDown(true)
		for _, srv := range p.servers {
			srv.Close()
		}
		p.tasks.Wait()
	})
}
