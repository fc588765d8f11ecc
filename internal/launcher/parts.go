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

// Retries inside the proxy are at most a tenth of the requests plus ten.
const (
	retryShare   = 0.1
	retryReserve = 10
)

// maxCallsPerPeer bounds the concurrent calls to one instance: a watch for each
// group that it monitors, and confirmations.
const maxCallsPerPeer = 64

func (i *Instance) startMessengers(listener net.Listener) {
	cfg := messenger.PoolConfig{LocalIP: i.localIP, TLS: i.security.peerTLS(), Registry: i.registry, Clock: i.clock}
	i.heartbeats = messenger.NewPool(cfg)
	cfg.MaxPerAddress = maxCallsPerPeer
	i.peers = messenger.NewPool(cfg)
	i.server = messenger.NewServer(messenger.ServerConfig{
		Listener: listener, TLS: i.security.peerTLS(), Registry: i.registry, Log: i.partLog("messenger"),
	})
}

func (i *Instance) startRoster() {
	i.roster = enroller.New(enroller.Config{
		Self:  enroller.Member{Instance: i.settings.Instance, Address: i.settings.Peers.Advertise, Zone: i.settings.Zone},
		Seeds: i.settings.Peers.Seeds, Dialer: i.heartbeats, PlatformURL: i.settings.Platform.Endpoint, LocalIP: i.localIP,
		Clock: i.clock, Recorder: i.recorder, Registry: i.registry, Log: i.partLog("enroller"),
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

// genesis reads the co-owners' first keys.
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
		Genesis: genesis, Store: i.store(), Directory: i.roster, Dialer: i.peers,
		Recorder: i.recorder, Clock: i.clock, Log: i.partLog("distributor"), Metrics: i.registry,
		Mode: distributor.Mode(i.settings.Experiment.Distribution),
	})
	return err
}

// startGroups starts what watches, promotes and confirms, and the pool. The
// relayer, which counts the work in flight, is set afterwards.
func (i *Instance) startGroups() {
	control := controlDialer{catalog: i.distributor, localIP: i.localIP, tls: i.security.serverTLS()}
	i.overseer = overseer.New(overseer.Config{
		Directory: i.roster, Catalog: i.distributor, Dialer: i.peers, Connect: control.connect,
		InFlight: inFlight{i}, IsLeaving: i.roster.ServerLeaving, Decline: i.roster.Decline,
		Clock: i.clock, Recorder: i.recorder, Log: i.partLog("overseer"),
	})
	i.divider = divider.New(divider.Config{
		Catalog: i.distributor, Directory: i.roster, Count: i.connectionCount, Clock: i.clock, Recorder: i.recorder,
	})
	i.pool = pooler.New(pooler.Config{
		Catalog: i.distributor, Views: i.overseer, Directory: i.roster, Dialer: i.peers, Granter: i.divider,
		ServerLeaving: i.roster.ServerLeaving, Password: keyer.Password, TLS: i.security.serverTLS(), LocalIP: i.localIP,
		Clock: i.clock, Registry: i.registry, Recorder: i.recorder, Log: i.partLog("pooler"),
	})
	i.confirmer = confirmer.New(confirmer.Config{
		Directory: i.roster, Catalog: i.distributor, Trackers: i.overseer, Groups: i.overseer, Dialer: i.peers,
		Read: pooledReader{i.pool}.read, Clock: i.clock, Recorder: i.recorder,
	})
}

// inFlight reads the relayer's count once the relayer runs.
type inFlight struct{ *Instance }

func (f inFlight) InFlight(group string) int {
	f.mu.Lock()
	r := f.relayer
	f.mu.Unlock()
	if r == nil {
		return 0
	}
	return r.InFlight(group)
}

// noTokenKeys is used when settings name no key file: sessions get no token.
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
	i.mockKey = keys.Derive(mockKeyLabel)
	return keys, nil
}

// mockKeyLabel separates the key of mock salts from other derived keys.
const mockKeyLabel = "scram mock salt"

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
		Acquirer:    measuredAcquirer{i.pool, i.figures, i.clock},
		Confirmer:   measuredConfirmer{i.confirmer, i.figures, i.clock},
		RetryBudget: pooler.NewRetryBudget(retryShare, retryReserve), Classifier: classifier.New(classifier.Config{}),
		Tokener: tokener.New(keys, i.clock), Clock: i.clock, Recorder: i.recorder, Metrics: i.registry,
		Log: i.partLog("relayer"),
	})
	i.mu.Lock()
	i.relayer = r
	i.mu.Unlock()
	return nil
}

func (i *Instance) newGatekeeper(listener net.Listener) *gatekeeper.Gatekeeper {
	return gatekeeper.New(gatekeeper.Config{
		Instance: i.settings.Instance, TLS: i.security.callerTLS(), MaxUnauthenticated: i.settings.Callers.MaxUnauthenticated,
		MockKey: i.mockKey,
	}, gatekeeper.Dependencies{
		Catalogs: i.distributor, Relayer: i.relayer, ForwardCancel: i.canceller().forward, Meter: callerMeter{i.figures}, Log: i.partLog("gatekeeper"),
	}, listener)
}

func (i *Instance) canceller() *canceller {
	return &canceller{
		directory: i.roster, dialer: i.peers, gate: i.gatekeeper,
		stamper: messenger.Stamper{Instance: i.settings.Instance, Recorder: i.recorder},
	}
}

func (i *Instance) registerServices() error {
	mux := i.server.Mux()
	return errors.Join(
		wire.DRPCRegisterMembership(mux, i.roster),
		wire.DRPCRegisterGroups(mux, overseer.GroupsServer{Overseer: i.overseer, Granter: i.divider}),
		wire.DRPCRegisterSessions(mux, i.canceller()),
		i.distributor.Register(mux),
	)
}
