package launcher

import (
	"net"
	"net/netip"
	"os"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/distributor"
	"marigoldhub.example/hub/internal/divider"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/gatekeeper"
	"marigoldhub.example/hub/internal/keyer"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/overseer"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/relayer"
	"marigoldhub.example/hub/internal/router"
	"marigoldhub.example/hub/internal/storer"
	"marigoldhub.example/hub/internal/tokener"
)

// Retries inside the proxy are limited to a tenth of the requests plus ten.
const (
	retryShare   = 0.1
	retryReserve = 10
)

// maxCallsPerPeer bounds the concurrent calls to one instance: a watch for each
// group that the instance monitors, and confirmations.
const maxCallsPerPeer = 64

func (i *Instance) startMessengers(listener net.Listener) {
	cfg := messenger.PoolConfig{LocalIP: i.localIP, TLS: i.tls.peerTLS(), Registry: i.registry, Clock: i.clock}
	i.heartbeats = messenger.NewPool(cfg)
	cfg.MaxPerAddress = maxCallsPerPeer
	i.peers = messenger.NewPool(cfg)
	i.server = messenger.NewServer(messenger.ServerConfig{
		Listener: listener, TLS: i.tls.peerTLS(), MaxConnections: i.maxSockets(), Places: i.places(),
		Registry: i.registry, Log: i.componentLog("messenger"),
	})
}

func (i *Instance) startMembership() {
	if !i.settings.isKnownByAddress() {
		i.componentLog("launcher").WithField("ip", i.settings.IP).WithField("advertise", i.settings.Peers.Advertise).
			Warn("launcher: ip is not the address of peers.advertise, so other instances keep no places for this one's connections")
	}
	i.membership = enroller.New(enroller.Config{
		Self:  enroller.Member{Instance: i.settings.Instance, Address: i.settings.Peers.Advertise, Zone: i.settings.Zone},
		Seeds: i.settings.Peers.Seeds, Dialer: i.heartbeats, PlatformURL: i.settings.Platform.Endpoint, LocalIP: i.localIP,
		Clock: i.clock, Recorder: i.recorder, Registry: i.registry, Log: i.componentLog("enroller"),
	})
}

// store returns nil when the settings name no store.
func (i *Instance) store() storer.Store {
	if i.settings.Store.Endpoint == "" {
		return nil
	}
	local, _ := netip.ParseAddr(i.settings.IP)
	return storer.NewEtcdClient(storer.Config{
		Endpoints: []string{i.settings.Store.Endpoint}, LocalIP: local, Metrics: i.registry,
	})
}

// genesis reads the co-owners' first keys from the genesis file.
func (i *Instance) genesis() ([]approver.Owner, error) {
	file := i.settings.Owners.GenesisFile
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	owners, findings := approver.CheckOwners(file, data)
	return owners.Owners, findings.Err()
}

func (i *Instance) startDistributor() error {
	genesis, err := i.genesis()
	if err != nil {
		return err
	}
	i.distributor, err = distributor.New(distributor.Config{
		Genesis: genesis, Store: i.store(), Directory: i.membership, Dialer: i.peers,
		Recorder: i.recorder, Clock: i.clock, Log: i.componentLog("distributor"), Metrics: i.registry,
		Mode: distributor.Mode(i.settings.Experiment.Distribution),
	})
	return err
}

// startGroups starts the components that work on database groups: overseer,
// divider, pooler and confirmer. The overseer needs the relayer's count of open
// transactions, but the relayer starts later: see inFlightCounter.
func (i *Instance) startGroups() {
	control := controlDialer{catalog: i.distributor, localIP: i.localIP, tls: i.tls.serverTLS()}
	i.overseer = overseer.New(overseer.Config{
		Directory: i.membership, Catalog: i.distributor, Dialer: i.peers, Connect: control.connect,
		InFlight: inFlightCounter{i}, IsLeaving: i.membership.ServerLeaving, Decline: i.membership.Decline,
		Clock: i.clock, Recorder: i.recorder, Log: i.componentLog("overseer"),
	})
	i.divider = divider.New(divider.Config{
		Catalog: i.distributor, Directory: i.membership, Count: i.connectionCount, Clock: i.clock, Recorder: i.recorder,
	})
	i.pool = pooler.New(pooler.Config{
		Catalog: i.distributor, Views: i.overseer, Directory: i.membership, Dialer: i.peers, Granter: i.divider, Budget: i.budget,
		ServerLeaving: i.membership.ServerLeaving, Password: keyer.Password, TLS: i.tls.serverTLS(), LocalIP: i.localIP,
		Clock: i.clock, Registry: i.registry, Recorder: i.recorder, Log: i.componentLog("pooler"),
	})
	i.confirmer = confirmer.New(confirmer.Config{
		Directory: i.membership, Catalog: i.distributor, Trackers: i.overseer, Groups: i.overseer, Dialer: i.peers,
		Read: pooledStatusReader{i.pool}.read, Clock: i.clock, Recorder: i.recorder,
	})
}

// inFlightCounter returns the relayer's count of open transactions, and 0 until
// the relayer has started. It implements overseer.InFlightCounter.
type inFlightCounter struct{ *Instance }

// InFlight implements overseer.InFlightCounter.
func (f inFlightCounter) InFlight(group string) int {
	f.mu.Lock()
	r := f.relayer
	f.mu.Unlock()
	if r == nil {
		return 0
	}
	return r.InFlight(group)
}

// noTokenKeys is used when the settings name no key file: sessions get no token.
type noTokenKeys struct{}

func (noTokenKeys) TokenKeys() [][]byte { return nil }

func (i *Instance) tokenKeys() (tokener.Keys, error) {
	if i.settings.Callers.TokenKeyFile == "" {
		i.log.Warn("launcher: no callers.token_key_file, sessions get no token and mock salts differ between instances")
		return noTokenKeys{}, nil
	}
	keys, err := keyer.NewHMAC(keyer.Config{Clock: i.clock, Log: i.log}, i.settings.Callers.TokenKeyFile)
	if err != nil {
		return nil, err
	}
	i.mockSaltKey = keys.Derive(mockSaltKeyLabel)
	return keys, nil
}

// mockSaltKeyLabel separates the key of mock salts from other keys that are
// derived from the token key.
const mockSaltKeyLabel = "scram mock salt"

func (i *Instance) startRelayer() error {
	policy, err := router.ParsePolicy(i.settings.Experiment.Routing)
	if err != nil {
		return err
	}
	keys, err := i.tokenKeys()
	if err != nil {
		return errors.Wrap(err, "session token keys")
	}
	r := relayer.New(relayer.Config{
		Policy: policy, Zone: i.settings.Zone, MessageLimit: i.settings.Callers.MaxMessageBytes,
	}, relayer.Dependencies{
		Catalogs: i.distributor, Views: i.overseer,
		Acquirer:    instrumentedAcquirer{i.pool, i.metrics, i.clock},
		Confirmer:   instrumentedConfirmer{i.confirmer, i.metrics, i.clock},
		RetryBudget: pooler.NewRetryBudget(retryShare, retryReserve), Classifier: classifier.New(classifier.Config{}),
		Tokener: tokener.New(keys, i.clock), Quotas: quotaGate{i.throttler}, Clock: i.clock, Recorder: i.recorder, Metrics: i.registry,
		Log: i.componentLog("relayer"),
	})
	i.mu.Lock()
	i.relayer = r
	i.mu.Unlock()
	return nil
}

func (i *Instance) newGatekeeper(listener net.Listener) *gatekeeper.Gatekeeper {
	return gatekeeper.New(gatekeeper.Config{
		Instance: i.settings.Instance, TLS: i.tls.callerTLS(), MaxUnauthenticated: i.settings.Callers.MaxUnauthenticated,
		MaxConnections: i.settings.MaxFDs - reservedFDs, MockKey: i.mockSaltKey,
	}, gatekeeper.Dependencies{
		Catalogs: i.distributor, Relayer: i.relayer, ForwardCancel: i.cancelForwarder().forward, Meter: callerMeter{i.metrics}, Budget: i.budget, Log: i.componentLog("gatekeeper"),
	}, listener)
}

func (i *Instance) cancelForwarder() *cancelForwarder {
	return &cancelForwarder{
		directory: i.membership, dialer: i.peers, gatekeeper: i.runningGatekeeper,
		stamper: messenger.Stamper{Instance: i.settings.Instance, Recorder: i.recorder},
	}
}

func (i *Instance) registerServices() error {
	mux := i.server.Mux()
	return errors.Join(
		wire.DRPCRegisterMembership(mux, i.membership),
		wire.DRPCRegisterGroups(mux, overseer.GroupsServer{Overseer: i.overseer, Granter: i.divider}),
		wire.DRPCRegisterSessions(mux, i.cancelForwarder()),
		wire.DRPCRegisterQuotas(mux, i.allocator),
		i.distributor.Register(mux),
	)
}
