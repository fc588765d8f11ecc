package noder

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/clocker"
	"marigoldhub.example/hub/internal/dispatcher"
	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/gossiper"
	"marigoldhub.example/hub/internal/holder"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/printer"
	"marigoldhub.example/hub/internal/registrar"
	"marigoldhub.example/hub/internal/replacer"
	"marigoldhub.example/hub/internal/sessioner"
	"marigoldhub.example/hub/platform"
)

const (
	// reservedFiles are descriptors for everything but callers' sessions:
	// the platform reserves 200, connections to servers and instances need
	// the rest.
	reservedFiles = 600
	// memoryShare of the limit is where the collector works harder.
	memoryShare = 0.5
	// collectorPercent trades processor time for peak memory: 50 instead of 100 takes
	// 2.3 MB less and 9 % more processor time (formosa-dots quiet-1).
	collectorPercent = 50
	// serverListInterval is how often the servers are listed. Draining servers
	// must be known within seconds; a list from the past costs a tenth.
	serverListInterval = time.Second
	// currentListEvery bounds how old the list can be while stale answers lag. The
	// instances read at different times and pass newer lists on.
	currentListEvery = 8
	// smallFleet instances all read current values from the store. In larger
	// fleets a few readers do and tell the others.
	smallFleet = 16
	// readers outlive the loss of power of half of the fleet: the chance that all
	// are among it is 1 in 256.
	readers = 8
	// readerListInterval is how often any reader lists the servers, every second
	// time with current values.
	readerListInterval = 500 * time.Millisecond
	readerCurrentEvery = 2
	// lazyListInterval is how often an instance that is no reader lists the
	// servers itself.
	lazyListInterval = 8 * time.Second
	// lazyCheckInterval is the same for the configuration. It must be in force
	// within 5 s.
	lazyCheckInterval = 4 * time.Second
	// fleetCheckInterval is how often any instance reads the configuration
	// without a sign of a change. With one way to the others it must stay well
	// within the 3 s in which a configuration must be in force.
	fleetCheckInterval = 500 * time.Millisecond
	// retryPause is the mean pause after a failed call to the store in a small
	// fleet; refused calls are priced, too.
	retryPause = 300 * time.Millisecond
	// peerDialTimeout covers two ways between zones and an instance whose
	// processor share is used up for a tenth of a second.
	peerDialTimeout = 150 * time.Millisecond
	// peerUserTimeout is how long a peer's machine may not acknowledge what it was
	// sent. A lost packet is sent again after 200 ms.
	peerUserTimeout = 400 * time.Millisecond
	// goneAfter is the time in which entries that lapsed while the store was
	// away return, with a margin for one list.
	goneAfter = 2500 * time.Millisecond
)

// Node is a running instance.
type Node struct {
	settings   platform.Settings
	clock      clockwork.Clock
	metrics    metrics.Registry
	log        *logrus.Logger
	printer    *printer.Printer
	store      *platform.Store
	informer   *informer.Informer
	dispatcher *dispatcher.Dispatcher
	registrar  *registrar.Registrar
	sessions   *sessioner.Server
	control    *messenger.Server
	peers      *messenger.Pool
	gossiper   *gossiper.Gossiper
	holder     *holder.Holder
	replacer   *replacer.Replacer
	duty       knownDuty
	web        []*http.Server

	// built is closed when all parts exist. Parts that start earlier wait for it
	// before they use others.
	built chan struct{}

	mu       sync.Mutex
	draining bool
	done     chan struct{}
}

// New starts an instance that logs to out.
func New(settings platform.Settings, out io.Writer) (*Node, error) {
	n := &Node{settings: settings, clock: clocker.NewBoot(), metrics: metrics.NewRegistry(), built: make(chan struct{}), done: make(chan struct{})}
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryShare))
	n.printer = printer.New(out, n.clock, n.metrics)
	n.log = newLogger(n.printer, settings)
	n.log.WithFields(logrus.Fields{"callers": settings.CallerAddress, "store": settings.StoreAddress}).Info("noder: starting")
	callers, err := net.Listen("tcp4", settings.CallerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	n.store = platform.NewStore(settings.StoreAddress, n.metrics)
	n.registrar = registrar.New(registrar.Config{
		Store: n.store, Clock: n.clock, Log: n.log,
		Self: registrar.Instance{
			Name: settings.Instance, Address: settings.ControlAddress, Zone: settings.Zone, Processor: settings.CPUMillicores, Incarnation: time.Now().UnixNano(),
		},
	})
	n.informer = informer.New(informer.Config{
		Store: n.store, Schema: platform.Schema(), Clock: n.clock, Log: n.log,
		ListInterval: n.listInterval, CurrentEvery: n.currentEvery, GoneAfter: goneAfter,
		CheckInterval: n.checkInterval, IsReader: n.isReader, LazyInterval: lazyCheckInterval,
		RetryPause: func() time.Duration { return n.spread(retryPause) }, OnNews: n.tellPeers,
	})
	n.peers = messenger.NewPool(messenger.PoolConfig{Registry: n.metrics, DialTimeout: peerDialTimeout, UserTimeout: peerUserTimeout, Clock: n.clock})
	n.dispatcher = dispatcher.New(dispatcher.Config{
		Zone: settings.Zone, Informer: n.informer, Dialer: platform.ServerDialer{User: settings.Instance, Clock: n.clock},
		Instance: settings.Instance, Instances: n.instances, InstancesKnown: n.registrar.IsKnown, InstancesChanged: n.registrar.Changed,
		Forwarder:  forwarder.Client{Dialer: n.peers},
		HoldsDuty:  n.holdsDuty,
		AskPeers:   n.askPeers,
		DrainLimit: settings.MinDrainTime, Clock: n.clock, TimeOfDay: time.Now, Metrics: n.metrics, Log: n.log,
	})
	if err := n.startDuties(); err != nil {
		return nil, err
	}
	n.sessions = sessioner.NewServer(sessioner.Config{
		Listener: callers, NewConn: func(c net.Conn) sessioner.Conn { return platform.NewCallerConn(c, n.clock) },
		Informer: n.informer, Dispatcher: n.dispatcher, MaxSessions: max(settings.MaxFileDescriptors-reservedFiles, 100),
		Clock: n.clock, Metrics: n.metrics, Log: n.log,
	})
	if err := n.serveReadiness(); err != nil {
		return nil, err
	}
	close(n.built)
	return n, nil
}

func newLogger(w io.Writer, settings platform.Settings) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	log.AddHook(instanceHook{settings.Instance})
	return log
}

// instanceHook adds the instance's name to each line.
type instanceHook struct{ instance string }

// Levels implements [logrus.Hook].
func (instanceHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements [logrus.Hook].
func (h instanceHook) Fire(e *logrus.Entry) error {
	e.Data["instance"] = h.instance
	return nil
}

// fleetSize returns how many instances are listed, this one included.
func (n *Node) fleetSize() int {
	near, far := n.registrar.Count(n.settings.Zone)
	return near + far
}

// instances returns all listed instances, this one included.
func (n *Node) instances() []placer.Peer {
	peers := []placer.Peer{n.self()}
	for _, o := range n.registrar.Others() {
		peers = append(peers, placer.Peer{Name: o.Name, Zone: o.Zone, Address: o.Address, Processor: o.Processor})
	}
	return peers
}

func (n *Node) self() placer.Peer {
	return placer.Peer{Name: n.settings.Instance, Zone: n.settings.Zone, Address: n.settings.ControlAddress, Processor: n.settings.CPUMillicores}
}

// holdsDuty reports whether this instance watches the primaries.
func (n *Node) holdsDuty() bool {
	select {
	case <-n.built:
		return n.holder.IsHolding()
	default:
		return false
	}
}

// spread lengthens an interval with the number of instances, so that large fleets
// call the store as often as small ones.
func (n *Node) spread(interval time.Duration) time.Duration {
	return interval * time.Duration(max(n.fleetSize(), smallFleet)) / smallFleet
}

// isReader reports whether this instance reads the store for the fleet. One that
// does not know the fleet may be one of hundreds.
func (n *Node) isReader() bool {
	if !n.registrar.IsKnown() {
		return false
	}
	if n.fleetSize() <= smallFleet {
		return true
	}
	return n.isAmong("store", readers)
}

// isAmong reports whether this instance is one of the count that a job falls to.
func (n *Node) isAmong(job string, count int) bool {
	return slices.ContainsFunc(placer.Rendezvous(job, n.instances(), count), func(p placer.Peer) bool {
		return p.Name == n.settings.Instance
	})
}

// listInterval returns the pause between two lists of the servers.
func (n *Node) listInterval() time.Duration {
	switch {
	case n.fleetSize() <= smallFleet:
		return serverListInterval
	case n.isReader():
		return readers * readerListInterval
	}
	return lazyListInterval
}

// currentEvery returns which share of the lists is a current one.
func (n *Node) currentEvery() int {
	if n.fleetSize() <= smallFleet {
		return currentListEvery
	}
	return readerCurrentEvery
}

// checkInterval spreads the reads of the configuration over the readers.
func (n *Node) checkInterval() time.Duration {
	if size := n.fleetSize(); size <= smallFleet {
		return fleetCheckInterval * time.Duration(size)
	}
	return readers * fleetCheckInterval
}

// tellPeers exchanges views with all other instances.
func (n *Node) tellPeers() {
	<-n.built
	n.gossiper.Tell(context.Background())
}

// askPeers exchanges views with some other instances.
func (n *Node) askPeers() {
	<-n.built
	n.gossiper.Ask()
}

// isReady reports whether callers should come: the instance knows what to
// serve and is not stopping.
func (n *Node) isReady() bool {
	<-n.built
	n.mu.Lock()
	draining := n.draining
	n.mu.Unlock()
	return !draining && n.informer.State().HasConfiguration() && n.informer.IsListed()
}

// Reload reads the settings again. Addresses cannot change while the process
// runs; a file that cannot be read changes nothing.
func (n *Node) Reload() {
	_, err := platform.LoadSettings()
	if err != nil {
		n.log.WithError(err).Warn("noder: settings cannot be read; the present ones stay")
		return
	}
	n.log.Info("noder: settings were read again")
}

// Done returns a channel that is closed when the instance has stopped.
func (n *Node) Done() <-chan struct{} { return n.done }
