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

// replacerPeers joins what package replacer asks of other instances.
type replacerPeers struct {
	view
	*gossiper.Gossiper
}

// startDuties starts the exchange with other instances and the competition for
// the duty of changing primaries.
func (n *Node) startDuties() error {
	l, err := net.Listen("tcp4", n.settings.ControlAddress)
	if err != nil {
		return errors.Wrap(err, "listen for instances")
	}
	v := view{n}
	n.gossiper = gossiper.New(gossiper.Config{
		Name: n.settings.Instance, View: v, Addresses: n.peerAddresses, Near: n.nearAddresses, AddressOf: n.addressOf, Dialer: n.peers, Clock: n.clock, Log: n.log,
	})
	n.holder = holder.New(holder.Config{
		Store: n.store, Name: n.settings.Instance, Address: n.settings.ControlAddress,
		HasEnded: n.gossiper.HasEnded, LookInterval: n.lookInterval, Clock: n.clock, Log: n.log,
	})
	n.replacer = replacer.New(replacer.Config{
		Name: n.settings.Instance, Informer: n.informer, Fleet: n.dispatcher,
		Promoter: platform.NewCloudClient(n.settings.CloudAddress), Duty: n.holder, Peers: replacerPeers{v, n.gossiper}, PromiseTime: holder.PromiseTime,
		Clock: n.clock, Metrics: n.metrics, Log: n.log,
	})
	n.control = messenger.NewServer(messenger.ServerConfig{Listener: l, Registry: n.metrics, Log: n.log})
	if err := wire.DRPCRegisterPeers(n.control.Mux(), gossiper.Service{Name: n.settings.Instance, View: v, Gossiper: n.gossiper}); err != nil {
		return errors.Wrap(err, "register the service for instances")
	}
	if err := wire.DRPCRegisterGateways(n.control.Mux(), forwarder.Service{Runner: n.dispatcher}); err != nil {
		return errors.Wrap(err, "register the service for statements of other instances")
	}
	n.control.Start()
	return nil
}

// addressOf returns where the named instance listens.
func (n *Node) addressOf(name string) string {
	for _, o := range n.registrar.Others() {
		if o.Name == name {
			return o.Address
		}
	}
	return ""
}

const (
	// dutyCandidates look often whether the duty is free in a large fleet, the others
	// only in case all of them are lost.
	dutyCandidates = 8
	// candidateLooks lengthens a candidate's interval: together they still look each
	// 0.2 s.
	candidateLooks = 2
	// otherLooks lengthens the interval of the others.
	otherLooks = 4
)

// lookInterval returns the pause between two looks whether the duty is free.
func (n *Node) lookInterval() time.Duration {
	switch {
	case n.fleetSize() <= smallFleet:
		return n.spread(holder.LookInterval)
	case n.isAmong("duty", dutyCandidates):
		return candidateLooks * holder.LookInterval
	}
	return otherLooks * n.spread(holder.LookInterval)
}

// nearAddresses returns the listed instances of the same availability zone.
func (n *Node) nearAddresses() []string {
	var addresses []string
	for _, o := range n.registrar.Others() {
		if o.Zone == n.settings.Zone {
			addresses = append(addresses, o.Address)
		}
	}
	return addresses
}

// peerAddresses returns the listed instances, or the seeds before any is known.
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
