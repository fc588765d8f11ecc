package relayer

import (
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/acquirer"
	"marigoldhub.example/hub/internal/certifier"
	"marigoldhub.example/hub/internal/charger"
	"marigoldhub.example/hub/internal/retainer"
	"marigoldhub.example/hub/internal/router"
)

// Relayer creates sessions and keeps their shared state.
type Relayer struct {
	cfg    Config
	deps   Dependencies
	router *router.Router
	clock  clockwork.Clock
	log    logrus.FieldLogger
	counts counters

	pins retainer.Pins

	mu     sync.Mutex
	groups map[string]*group
}

// group is the state that the sessions of one database group share.
type group struct {
	*acquirer.Group
	// certifier confirms the answers of the group.
	certifier *certifier.Certifier
}

// New returns a relayer. It needs no Close.
func New(cfg Config, deps Dependencies) *Relayer {
	if deps.Clock == nil {
		deps.Clock = clockwork.NewRealClock()
	}
	if deps.Metrics == nil {
		deps.Metrics = metrics.NewRegistry()
	}
	if deps.Log == nil {
		deps.Log = logrus.StandardLogger()
	}
	if deps.Quotas == nil {
		deps.Quotas = charger.Unlimited{}
	}
	r := &Relayer{
		cfg: cfg.withDefaults(), deps: deps, clock: deps.Clock, log: deps.Log,
		groups: make(map[string]*group),
	}
	r.counts = newCounters(deps.Metrics)
	r.router = router.New(router.Config{Policy: r.cfg.Policy, Zone: r.cfg.Zone}, deps.Catalogs, deps.Views, func(name, server string) int { return r.group(name).Reads(server) })
	return r
}

// InFlight returns the number of transactions of this instance that are in
// flight on the primary of the group, including commits that are not
// confirmed yet.
func (r *Relayer) InFlight(name string) int { return r.group(name).InFlight() }

func (r *Relayer) group(name string) *group {
	r.mu.Lock()
	defer r.mu.Unlock()
	g, ok := r.groups[name]
	if !ok {
		g = &group{acquirer.NewGroup(), certifier.New(certifier.Config{
			Group: name, Confirmer: r.deps.Confirmer, Wait: r.cfg.ConfirmWait, CheckWait: r.cfg.PrimaryWait, Log: r.log,
		})}
		r.groups[name] = g
	}
	return g
}
