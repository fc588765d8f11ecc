package selector

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/placer"
)

const (
	// minRecheckPause is the first pause before a lost gateway is asked again. The
	// pause doubles up to maxRecheckPause, about the time until the list of instances
	// shows that an instance is gone.
	minRecheckPause = 250 * time.Millisecond
	maxRecheckPause = 4 * time.Second
	// recheckTimeout limits such a request.
	recheckTimeout = 300 * time.Millisecond
)

// errUnresponsive means that another instance reported that an instance does not
// answer.
var errUnresponsive = errors.New("instance does not answer")

// Forwarder sends requests to gateways.
type Forwarder interface {
	// Forward runs the request at the gateway with the address.
	Forward(ctx context.Context, address string, r forwarder.Request) (forwarder.Reply, error)
}

// Config holds what a [Selector] needs.
type Config struct {
	// Instance is the name of this instance.
	Instance string
	// Forwarder reaches the gateways.
	Forwarder Forwarder
	// Stop is closed when lost gateways are not to be asked any more.
	Stop  <-chan struct{}
	Clock clockwork.Clock
	Log   logrus.FieldLogger
}

// Selector knows the gateways of all servers.
type Selector struct {
	cfg Config
	// self stands for this instance among the gateways of a server.
	self *Gateway

	mu sync.Mutex
	// peers are the gateways other than this instance, by address.
	peers map[string]*Gateway
	plan  plan
}

// New returns a selector without gateways.
func New(cfg Config) *Selector {
	return &Selector{cfg: cfg, self: &Gateway{isSelf: true, lostCh: make(chan struct{})}, peers: map[string]*Gateway{}}
}

// Plan returns the n instances among the peers that are the server's gateways, in order.
func (s *Selector) Plan(srv informer.Server, peers []placer.Peer, n int) []placer.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.of(srv, peers, n)
}

// Rank returns the rank of this instance among the gateways, -1 if it is none.
func (s *Selector) Rank(gateways []placer.Peer) int { return slices.IndexFunc(gateways, s.isSelf) }

func (s *Selector) isSelf(p placer.Peer) bool { return p.Name == s.cfg.Instance }

// Gateways returns the gateways for the peers.
func (s *Selector) Gateways(peers []placer.Peer) []*Gateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*Gateway
	for _, p := range peers {
		if s.isSelf(p) {
			out = append(out, s.self)
			continue
		}
		g := s.peers[p.Address]
		if g != nil && g.peer != p {
			g.markUnlisted()
			g = nil
		}
		if g == nil {
			g = newGateway(p)
			s.peers[p.Address] = g
		}
		out = append(out, g)
	}
	return out
}

// Keep forgets the servers that are not listed, and the gateways that are in none of the
// rankings.
func (s *Selector) Keep(listed map[string]bool, rankings []*Ranking) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.forget(listed)
	used := map[*Gateway]bool{}
	for _, r := range rankings {
		for _, g := range r.all() {
			used[g] = true
		}
	}
	for address, g := range s.peers {
		if !used[g] {
			g.markUnlisted()
			delete(s.peers, address)
		}
	}
}

// LeaveGateways makes this instance avoid itself as a gateway, because it stops.
func (s *Selector) LeaveGateways() { s.self.markLost() }

// MarkLost makes callers' requests avoid a gateway that could not be reached,
// and asks it in the background until it answers.
func (s *Selector) MarkLost(g *Gateway, cause error) {
	if !g.markLost() {
		return
	}
	log := s.cfg.Log.WithField("gateway", g.peer.Name)
	log.WithError(cause).Info("dispatcher: gateway is lost")
	go func() {
		for pause := minRecheckPause; !g.isUnlisted(); pause = min(2*pause, maxRecheckPause) {
			select {
			case <-s.cfg.Clock.After(pause):
			case <-s.cfg.Stop:
				return
			}
			if _, err := s.cfg.Forwarder.Forward(context.Background(), g.peer.Address, forwarder.Request{Timeout: recheckTimeout}); err == nil {
				g.markReachable()
				log.Info("dispatcher: gateway is back")
				return
			}
		}
	}()
}

// MarkUnreachable makes requests avoid the named instances as gateways until they
// answer again. Reads that wait for an answer of theirs are tried elsewhere.
func (s *Selector) MarkUnreachable(names []string) {
	if len(names) == 0 {
		return
	}
	var lost []*Gateway
	s.mu.Lock()
	for _, g := range s.peers {
		if slices.Contains(names, g.peer.Name) {
			lost = append(lost, g)
		}
	}
	s.mu.Unlock()
	for _, g := range lost {
		s.MarkLost(g, errUnresponsive)
	}
}
