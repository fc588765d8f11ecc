package noder

import (
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/allocator"
	"marigoldhub.example/hub/internal/authenticator"
	"marigoldhub.example/hub/internal/budgeter"
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
	"marigoldhub.example/hub/internal/storer"
	"marigoldhub.example/hub/internal/surveyor"
	"marigoldhub.example/hub/internal/throttler"
	"marigoldhub.example/hub/platform"
)

const (
	// reservedFileDescriptors is the number of descriptors that are not for callers'
	// sessions: the platform reserves 200 (platformFiles), and connections to servers and
	// instances need the rest.
	reservedFileDescriptors = 600
	// memoryLimitShare is the share of the instance's memory limit that is the soft
	// limit of the Go runtime, near which the garbage collector works harder.
	memoryLimitShare = 0.5
	// gcPercent is the GOGC value. 50 instead of 100 takes 2.3 MB less peak memory and
	// 9 % more processor time (a quiet day of eight instances).
	gcPercent = 50
	// serverListInterval is how often the servers are listed in a small fleet. Draining
	// servers must be known within seconds; a stale read costs a tenth of a
	// linearizable one.
	serverListInterval = time.Second
	// linearizableListEvery is n if every n-th list in a small fleet is a linearizable
	// read. It limits how old the list can be when stale reads lag. The instances read
	// at different times and exchange newer lists.
	linearizableListEvery = 8
	// smallFleet is the largest number of instances that all read the store with
	// linearizable reads. In larger fleets a few readers do and tell the others.
	smallFleet = 16
	// readers is the number of readers in larger fleets. If half of the instances lose
	// power, the chance that all readers are among them is 1 in 256.
	readers = 8
	// listSettleTime is how long after its start an instance does not rely on a short list: most
	// of those that start together may not be listed yet.
	listSettleTime = 600 * time.Millisecond
	// readerJob is the key by which readers are chosen.
	readerJob = "store"
	// readerListInterval is how often any of the readers lists the servers; every
	// readerLinearizableEvery-th list is a linearizable read.
	readerListInterval      = 500 * time.Millisecond
	readerLinearizableEvery = 2
	// nonReaderListInterval is how often an instance that is no reader lists the
	// servers.
	nonReaderListInterval = 8 * time.Second
	// nonReaderCheckInterval is how often such an instance reads the configuration,
	// which must be in force within 5 s.
	nonReaderCheckInterval = 4 * time.Second
	// fleetCheckInterval is how often any of the readers reads the configuration
	// without a sign of a change. With the time to tell the others, it must be well
	// within the 3 s in which a configuration must be in force.
	fleetCheckInterval = 500 * time.Millisecond
	// largeConfiguration is some hundred routes, in bytes. Reading less costs the store and
	// the links hardly more than asking whether it has changed.
	largeConfiguration = 64 << 10
	// proofRetryPause is the mean pause in a small fleet between two reads of the
	// configuration by an instance that lacks a proof that it is current.
	proofRetryPause = 4 * time.Second
	// retryPause is the mean pause after a failed call to the store in a small fleet.
	// The store charges refused calls, too.
	retryPause = 300 * time.Millisecond
	// peerDialTimeout covers two trips between zones and an instance whose processor
	// share is used up for a tenth of a second.
	peerDialTimeout = 150 * time.Millisecond
	// peerUserTimeout is how long another instance's machine may leave sent data
	// unacknowledged. A lost packet is sent again after 200 ms.
	peerUserTimeout = 400 * time.Millisecond
	// removeServerAfter is the time in which entries return that expired while the
	// store was down, with a margin for one list.
	removeServerAfter = 2500 * time.Millisecond
	// entryTTLHeartbeats is the number of heartbeat intervals after which the entry of a
	// silent server is not listed any more: the store removes it after three, and a list
	// may lag.
	entryTTLHeartbeats = 4
)

// Node is a running instance.
type Node struct {
	settings      platform.Settings
	clock         clockwork.Clock
	started       time.Time
	metrics       metrics.Registry
	log           *logrus.Logger
	printer       *printer.Printer
	store         *platform.Store
	informer      *informer.Informer
	dispatcher    *dispatcher.Dispatcher
	authenticator *authenticator.Authenticator
	throttler     *throttler.Throttler
	allocator     *allocator.Allocator
	surveyor      *surveyor.Surveyor
	registrar     *registrar.Registrar
	listed        *listedAddresses
	sessions      *sessioner.Server
	control       *messenger.Server
	peers         *messenger.Pool
	gossiper      *gossiper.Gossiper
	holder        *holder.Holder
	replacer      *replacer.Replacer
	coordinator   knownCoordinator
	relayed       relayedLeases
	httpServers   []*http.Server
	budget        *budgeter.Budget
	sockets       sockets

	// built is closed when all components exist. Components that start earlier wait
	// for it before they use others.
	built chan struct{}

	mu       sync.Mutex
	draining bool
	// hasLeft is set when the other instances have been told that this one is stopping.
	hasLeft bool
	roster  roster
	done    chan struct{}
}

// New starts an instance that writes its log to out.
func New(settings platform.Settings, out io.Writer) (*Node, error) {
	n := &Node{settings: settings, clock: clocker.NewBoot(), metrics: metrics.NewRegistry(), built: make(chan struct{}), done: make(chan struct{})}
	n.started = n.clock.Now()
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryLimitShare))
	n.printer = printer.New(out, n.clock, n.metrics)
	n.log = newLogger(n.printer, settings)
	n.log.WithFields(logrus.Fields{"callers": settings.CallerAddress, "store": settings.StoreAddress}).Info("noder: starting")
	n.budget = n.newBudget()
	n.sockets = n.newSockets()
	callers, err := n.listen(settings.CallerAddress, callerReceiveBuffer, n.sockets.callers)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	n.store = platform.NewStore(settings.StoreAddress, n.metrics, n.log)
	n.store.Sockets = n.sockets.store
	n.registrar = registrar.New(registrar.Config{
		Store: n.store, Clock: n.clock, Log: n.log,
		Self: registrar.Instance{
			Name: settings.Instance, Address: settings.ControlAddress, Zone: settings.Zone, Processor: settings.CPUMillicores, Incarnation: time.Now().UnixNano(),
		},
	})
	n.listed = &listedAddresses{registrar: n.registrar, seeds: settings.Seeds}
	n.informer = informer.New(n.informerConfig(n.store))
	n.peers = messenger.NewPool(messenger.PoolConfig{
		LocalIP: controlIP(settings), Registry: n.metrics, DialTimeout: peerDialTimeout, UserTimeout: peerUserTimeout, Sockets: n.sockets.peers, Clock: n.clock,
	})
	n.surveyor = surveyor.New(n.clock)
	n.dispatcher = dispatcher.New(dispatcher.Config{
		Zone: settings.Zone, Informer: n.informer, Dialer: platform.ServerDialer{User: settings.Instance, Clock: n.clock, Budget: n.budget, Sockets: n.sockets.servers},
		Instance: settings.Instance, Instances: n.instances, InstancesKnown: n.registrar.HasList, InstancesChanged: n.registrar.Changed,
		Seeds:         n.seeds(),
		Forwarder:     forwarder.Client{Dialer: n.peers},
		IsCoordinator: n.isCoordinator,
		AskPeers:      n.refreshFromPeers,
		WaitAt:        n.surveyor.WaitAt, PositionAt: n.surveyor.PositionAt, OtherZoneCost: settings.OtherZoneCost,
		DrainLimit: settings.MinDrainTime, Clock: n.clock, TimeOfDay: time.Now, Metrics: n.metrics, Log: n.log,
	})
	n.authenticator = authenticator.New(authenticator.Config{
		Informer: n.informer, RevocationLimit: settings.RevocationLimit, Clock: n.clock, Metrics: n.metrics, Log: n.log,
	})
	n.startQuotas()
	if err := n.startCoordination(); err != nil {
		return nil, err
	}
	n.sessions = sessioner.NewServer(sessioner.Config{
		Listener: callers, OnFull: callers.OnFull, NewConn: func(c net.Conn) sessioner.Conn { return platform.NewCallerConn(c, n.budget) },
		Informer: n.informer, Dispatcher: n.dispatcher, Authenticator: n.authenticator, Throttler: n.throttler, MaxSessions: maxSessions(settings), Refusals: n.budget.Refusals(),
		Clock: n.clock, Metrics: n.metrics, Log: n.log,
	})
	if err := n.serveReadiness(); err != nil {
		return nil, err
	}
	close(n.built)
	return n, nil
}

// informerConfig returns what the informer needs.
func (n *Node) informerConfig(store storer.Store) informer.Config {
	return informer.Config{
		Store: store, Schema: platform.Schema(), Clock: n.clock, Log: n.log,
		ListInterval: n.listInterval, LinearizableEvery: n.linearizableEvery, RemoveAfter: removeServerAfter, EntryTTL: entryTTLHeartbeats * n.settings.ServerHeartbeatInterval,
		CheckInterval: n.checkInterval, IsReader: n.isReader, StaleInterval: nonReaderCheckInterval,
		RootCheckInterval: n.rootCheckInterval, LargeConfiguration: largeConfiguration,
		RetryPause:  func() time.Duration { return n.scaleInterval(retryPause) },
		MaxProofAge: n.settings.RevocationLimit, IsProofRoot: n.isProofRoot, AskPeers: n.refreshFromPeers,
		ProofRetryPause: func() time.Duration { return n.scaleInterval(proofRetryPause) }, OnChange: n.spreadNews,
		OnStaleChange: n.passNews,
	}
}

func newLogger(w io.Writer, settings platform.Settings) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	log.AddHook(instanceHook{settings.Instance})
	log.AddHook(textLimitHook{})
	return log
}

// instanceHook adds the instance's name to each log line.
type instanceHook struct{ instance string }

// Levels implements [logrus.Hook].
func (instanceHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements [logrus.Hook].
func (h instanceHook) Fire(e *logrus.Entry) error {
	e.Data["instance"] = h.instance
	return nil
}

// fleetSize returns the number of listed instances, this one included.
func (n *Node) fleetSize() int {
	near, far := n.registrar.Count(n.settings.Zone)
	return near + far
}

// instances returns all listed instances, this one included if the others count it in: it has
// a list of the store, and has not left them. The list must not be changed.
//
// A stopping instance keeps its last list when fewer than two would be left: with a shorter one
// it would take the whole connection limit of each server, and when all instances stop together,
// each of them would.
func (n *Node) instances() []placer.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.update(n)
}

// seeds returns the instances of the settings, whose names are not known.
func (n *Node) seeds() []placer.Peer {
	peers := make([]placer.Peer, 0, len(n.settings.Seeds))
	for _, address := range n.settings.Seeds {
		p := placer.Peer{Name: address, Address: address}
		if address == n.settings.ControlAddress {
			p = n.self()
		}
		peers = append(peers, p)
	}
	return peers
}

func (n *Node) self() placer.Peer {
	return placer.Peer{Name: n.settings.Instance, Zone: n.settings.Zone, Address: n.settings.ControlAddress, Processor: n.settings.CPUMillicores}
}

// isCoordinator reports whether this instance is the coordinator; false before all
// components exist.
func (n *Node) isCoordinator() bool {
	select {
	case <-n.built:
		return n.holder.IsCoordinator()
	default:
		return false
	}
}

// isProofRoot reports whether this instance reads the configuration on behalf of the
// fleet: it is the coordinator, or the last one that is known. While the store is away
// nobody can become the coordinator, and the others still ask the last one for leases.
func (n *Node) isProofRoot() bool {
	name, _ := n.coordinator.get()
	return name == n.settings.Instance || n.isCoordinator()
}

// scaleInterval lengthens an interval in proportion to the number of instances, so
// that large fleets call the store as often as small ones.
func (n *Node) scaleInterval(interval time.Duration) time.Duration {
	return interval * time.Duration(max(n.fleetSize(), smallFleet)) / smallFleet
}

// isReader reports whether this instance reads the store on behalf of the fleet. An instance that
// has not listed the others is no reader, because the fleet may be large. For listSettleTime
// after the start, a list of few instances does not prove that it is small.
func (n *Node) isReader() bool {
	if !n.registrar.HasList() {
		return false
	}
	if n.fleetSize() <= smallFleet && n.clock.Since(n.started) >= listSettleTime {
		return true
	}
	return n.isAmong(readerJob, readers)
}

// isAmong reports whether this instance is one of count instances that rendezvous
// hashing selects for the job.
func (n *Node) isAmong(job string, count int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roster.update(n)
	return n.roster.isAmong(job, count, n.settings.Instance)
}

// listInterval returns the mean pause between two lists of the servers.
func (n *Node) listInterval() time.Duration {
	switch {
	case n.fleetSize() <= smallFleet:
		return serverListInterval
	case n.isReader():
		return readers * readerListInterval
	}
	return nonReaderListInterval
}

// linearizableEvery returns n if every n-th list is a linearizable read. The fewer instances
// there are, the more of their lists must be, so that some instance reads one each second or
// so: the time since the last one counts as time in which a server may have begun to drain.
func (n *Node) linearizableEvery() int {
	if size := n.fleetSize(); size <= smallFleet {
		return min(max(size, 1), linearizableListEvery)
	}
	return readerLinearizableEvery
}

// checkInterval returns a reader's mean pause between two reads of the configuration.
func (n *Node) checkInterval() time.Duration {
	if size := n.fleetSize(); size <= smallFleet {
		return fleetCheckInterval * time.Duration(size)
	}
	return readers * fleetCheckInterval
}

// rootCheckInterval returns the coordinator's mean pause between two reads of the
// configuration; 0 in a small fleet, in which all instances are readers.
func (n *Node) rootCheckInterval() time.Duration {
	if n.fleetSize() <= smallFleet {
		return 0
	}
	return 2 * fleetCheckInterval
}

// spreadNews makes the other instances learn what this one has read from the store.
func (n *Node) spreadNews() {
	<-n.built
	n.gossiper.Spread(true)
}

// passNews makes the instances that this one passes news on to learn what it knows.
func (n *Node) passNews() {
	<-n.built
	n.gossiper.Spread(false)
}

// refreshFromPeers exchanges state with some other instances.
func (n *Node) refreshFromPeers() {
	<-n.built
	n.gossiper.Refresh()
}

// isReady reports whether callers should connect: the instance knows the
// configuration and the servers, and is not stopping. An instance whose configuration must
// be proved to be current is not ready before its first proof. It stays ready when it lacks
// one later: the others may lack it, too. With quotas it must know the other instances,
// among whom they are divided.
func (n *Node) isReady() bool {
	<-n.built
	n.mu.Lock()
	draining := n.draining
	n.mu.Unlock()
	state := n.informer.State()
	switch {
	case draining, !state.HasConfiguration(), !n.informer.HasServerList():
		return false
	case n.informer.NeedsProof() && !n.informer.Current().IsProved():
		return false
	}
	return n.registrar.HasList() || !state.Configuration.HasQuotas()
}

// Reload only checks the settings file and logs whether it is valid: the settings in
// use do not change while the process runs.
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
