package launcher

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/allocator"
	"marigoldhub.example/hub/internal/budgeter"
	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/distributor"
	"marigoldhub.example/hub/internal/divider"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/gatekeeper"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/overseer"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/relayer"
	"marigoldhub.example/hub/internal/reporter"
	"marigoldhub.example/hub/internal/throttler"
)

// Instance is an entry instance that runs in this process.
type Instance struct {
	settings    Settings
	log         logrus.FieldLogger
	clock       clockwork.Clock
	registry    metrics.Registry
	metrics     *reporter.Metrics
	replicaAges listedGauges
	// keyConnections are the gauges of connections by keys of teams.
	keyConnections listedGauges
	localIP        net.IP
	tls            tlsMaterial
	// mockSaltKey is the key of the salts shown to unknown callers. It is empty
	// without a token key file; the gatekeeper then makes its own.
	mockSaltKey []byte

	recorder    *recorder.Recorder
	heartbeats  *messenger.Pool
	peers       *messenger.Pool
	server      *messenger.Server
	membership  *enroller.Membership
	distributor *distributor.Distributor
	budget      *budgeter.Budget
	divider     *divider.Divider
	overseer    *overseer.Overseer
	pool        *pooler.Pool
	confirmer   *confirmer.Chooser
	allocator   *allocator.Allocator
	throttler   *throttler.Throttler
	relayer     *relayer.Relayer
	reporter    *reporter.Reporter

	stopping chan struct{}
	failed   chan struct{}

	mu         sync.Mutex
	gatekeeper *gatekeeper.Gatekeeper
}

// NewInstance opens the listeners and starts every component. Callers are
// accepted once a verified manifest is active. [Instance.Shutdown] ends the
// instance.
func NewInstance(settings Settings, log logrus.FieldLogger) (*Instance, error) {
	clock := clockwork.NewRealClock()
	i := &Instance{
		settings: settings, log: log, clock: clock, registry: metrics.NewRegistry(), localIP: net.ParseIP(settings.IP),
		recorder: recorder.New(settings.Instance, settings.Timeline.Events, clock),
		stopping: make(chan struct{}), failed: make(chan struct{}),
	}
	i.metrics = reporter.NewMetrics(i.registry)
	i.budget = i.newBudget()
	listeners, err := openListeners(settings)
	if err != nil {
		return nil, err
	}
	i.limitSockets(&listeners)
	if err := i.startComponents(listeners); err != nil {
		listeners.close()
		return nil, err
	}
	go func() {
		i.acceptWhenReady(listeners.callers)
	}()
	i.recorder.Record("launcher", "instance_started", "", "zone", settings.Zone, "version", Version)
	return i, nil
}

// startComponents starts the components in the order of their dependencies.
func (i *Instance) startComponents(l listeners) error {
	var err error
	if i.tls, err = loadTLS(i.settings, i.clock, i.log); err != nil {
		return errors.Wrap(err, "load TLS files")
	}
	i.startMessengers(l.peers)
	i.startMembership()
	if err := i.startDistributor(); err != nil {
		return errors.Wrap(err, "start distributor")
	}
	i.startGroups()
	i.startQuotas()
	if err := i.startRelayer(); err != nil {
		return errors.Wrap(err, "start relayer")
	}
	if err := i.registerServices(); err != nil {
		return errors.Wrap(err, "register services")
	}
	i.server.Start()
	i.reporter = reporter.New(reporter.Config{
		Admin: l.admin, AdminTLS: i.tls.adminTLS(), Health: l.health,
		Status: i.Status, Events: i.recorder.Events, Metrics: i.registry, BeforeMetrics: i.updateGauges, Proposals: i.proposals(), Log: i.log,
	})
	return nil
}

// Failed returns a channel that is closed when the listener for callers ended
// without a shutdown.
func (i *Instance) Failed() <-chan struct{} { return i.failed }

// readyCheckInterval is the polling interval while no manifest is active yet.
const readyCheckInterval = 20 * time.Millisecond

// acceptWhenReady starts the gatekeeper once a verified manifest is active, and
// returns when the gatekeeper has ended.
func (i *Instance) acceptWhenReady(listener net.Listener) {
	ticker := i.clock.NewTicker(readyCheckInterval)
	defer ticker.Stop()
	for {
		if ready, _ := i.distributor.Ready(); ready {
			break
		}
		select {
		case <-ticker.Chan():
		case <-i.stopping:
			_ = listener.Close()
			return
		}
	}
	gk := i.newGatekeeper(listener)
	i.mu.Lock()
	i.gatekeeper = gk
	i.mu.Unlock()
	i.log.Info("launcher: accepting caller connections")
	<-gk.Done()
	select {
	case <-i.stopping:
	default:
		close(i.failed)
	}
}

// runningGatekeeper returns nil until callers are accepted.
func (i *Instance) runningGatekeeper() *gatekeeper.Gatekeeper {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.gatekeeper
}

func (i *Instance) isStopping() bool {
	select {
	case <-i.stopping:
		return true
	default:
		return false
	}
}

// connectionCount returns the number of connections in the newest status that
// the server reported to this instance as the group's monitor. It returns false
// when this instance is not the monitor or the server has not reported.
func (i *Instance) connectionCount(group, server string) (int, bool) {
	t, ok := i.overseer.Tracker(group)
	if !ok {
		return 0, false
	}
	o := t.State().Server(server)
	return o.Status.Connections, o.Seen()
}

// componentLog returns the logger of a component.
func (i *Instance) componentLog(component string) logrus.FieldLogger {
	return i.log.WithField("part", component)
}

// listeners are opened before any component starts, so that a wrong address
// fails at once.
type listeners struct {
	callers, peers, admin, health net.Listener
}

func openListeners(s Settings) (listeners, error) {
	var l listeners
	targets := []struct {
		key      string
		address  string
		listener *net.Listener
	}{
		{"callers.listen", s.Callers.Listen, &l.callers},
		{"peers.listen", s.Peers.Listen, &l.peers},
		{"admin.listen", s.Admin.Listen, &l.admin},
		{"admin.health_listen", s.Admin.HealthListen, &l.health},
	}
	for _, t := range targets {
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", t.address)
		if err != nil {
			l.close()
			return l, fmt.Errorf("%s: %w", t.key, err)
		}
		*t.listener = listener
	}
	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.admin, l.health} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
