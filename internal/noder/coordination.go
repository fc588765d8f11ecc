package noder

import (
	"net"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/gossiper"
	"marigoldhub.example/hub/internal/holder"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/replacer"
	"marigoldhub.example/hub/platform"
)

// replacerPeers implements [replacer.Peers].
type replacerPeers struct {
	view
	*gossiper.Gossiper
}

// startCoordination starts the exchange with other instances, the competition for
// the coordinator role, and the replacer.
func (n *Node) startCoordination() error {
	l, err := n.listen(n.settings.ControlAddress, peerReceiveBuffer, n.sockets.control)
	if err != nil {
		return errors.Wrap(err, "listen for instances")
	}
	v := view{n}
	n.gossiper = gossiper.New(n.gossiperConfig(n.peers))
	n.holder = holder.New(holder.Config{
		Store: n.store, Name: n.settings.Instance, Address: n.settings.ControlAddress,
		EndTenure: n.gossiper.EndTenure, CampaignInterval: n.campaignInterval, Clock: n.clock, Log: n.log,
	})
	cloud := platform.NewCloudClient(n.settings.CloudAddress)
	cloud.Sockets = n.sockets.store
	n.replacer = replacer.New(replacer.Config{
		Name: n.settings.Instance, Informer: n.informer, Backends: n.dispatcher,
		Promoter: cloud, Election: n.holder, Peers: replacerPeers{v, n.gossiper}, PrimaryLeaseTTL: holder.PrimaryLeaseTTL,
		Clock: n.clock, Metrics: n.metrics, Log: n.log,
	})
	n.control = messenger.NewServer(n.controlConfig(l))
	l.OnFull(n.control.CloseOne)
	l.HavePlaces(n.control.HasPlace)
	if err := wire.DRPCRegisterPeers(n.control.Mux(), gossiper.Service{Name: n.settings.Instance, View: v, Gossiper: n.gossiper}); err != nil {
		return errors.Wrap(err, "register the service for instances")
	}
	if err := wire.DRPCRegisterGateways(n.control.Mux(), forwarder.Service{Runner: n.dispatcher}); err != nil {
		return errors.Wrap(err, "register the service for statements of other instances")
	}
	if err := wire.DRPCRegisterQuotas(n.control.Mux(), n.allocator); err != nil {
		return errors.Wrap(err, "register the service for quotas of teams")
	}
	n.control.Start()
	return nil
}

// controlConfig returns the configuration of the server of the control port.
func (n *Node) controlConfig(l net.Listener) messenger.ServerConfig {
	return messenger.ServerConfig{
		Listener: l, Registry: n.metrics, Log: n.log, MaxMessageBytes: maxCall,
		MaxConnections: n.maxControlConnections(),
		Places: messenger.Places{
			Instances: n.listed.count, PerInstance: placesPerInstance, Shared: n.sharedPlaces(), Refusals: n.budget.Refusals(),
		},
		Wrap: func(c net.Conn) net.Conn { return n.budget.NewConn(c) },
	}
}

// gossiperConfig returns what the gossiper needs.
func (n *Node) gossiperConfig(dialer messenger.Dialer) gossiper.Config {
	return gossiper.Config{
		Name: n.settings.Instance, Address: n.settings.ControlAddress, View: view{n}, Addresses: n.peerAddresses, SameZone: n.sameZoneAddresses, AddressOf: n.addressOf,
		Blocks: n.spreadBlocks, LinkBytes: n.settings.LinkBytes, Dialer: dialer, Clock: n.clock, Log: n.log,
	}
}

// addressOf returns the address of the named instance; empty if it is not listed.
func (n *Node) addressOf(name string) string {
	for _, o := range n.registrar.Others() {
		if o.Name == name {
			return o.Address
		}
	}
	return ""
}

const (
	// coordinatorCandidates is how many instances of a large fleet check often whether
	// there is a coordinator. The others do so only in case all of these fail.
	coordinatorCandidates = 8
	// candidateIntervalFactor lengthens a candidate's interval. Together the candidates
	// still check every 0.2 s.
	candidateIntervalFactor = 2
	// otherIntervalFactor lengthens the interval of the others.
	otherIntervalFactor = 4
)

// campaignInterval returns the mean pause between two checks whether there is a
// coordinator.
func (n *Node) campaignInterval() time.Duration {
	switch {
	case n.fleetSize() <= smallFleet:
		return n.scaleInterval(holder.CampaignInterval)
	case n.isAmong("duty", coordinatorCandidates):
		return candidateIntervalFactor * holder.CampaignInterval
	}
	return otherIntervalFactor * n.scaleInterval(holder.CampaignInterval)
}

// sameZoneAddresses returns the addresses of the other listed instances of the same
// availability zone.
func (n *Node) sameZoneAddresses() []string {
	var addresses []string
	for _, o := range n.registrar.Others() {
		if o.Zone == n.settings.Zone {
			addresses = append(addresses, o.Address)
		}
	}
	return addresses
}

// peerAddresses returns the addresses of the other listed instances, or the seeds
// if none is listed.
func (n *Node) peerAddresses() []string {
	var addresses []string
	for _, o := range n.registrar.Others() {
		addresses = append(addresses, o.Address)
	}
	if len(addresses) > 0 {
		return addresses
	}
	for _, seed := range n.settings.Seeds {
		if seed != n.settings.ControlAddress {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}
