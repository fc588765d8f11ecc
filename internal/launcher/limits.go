package launcher

import (
	"net"
	"net/netip"
	"slices"

	"marigoldhub.example/hub/internal/budgeter"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/limiter"
	"marigoldhub.example/hub/internal/messenger"
)

const (
	// connectionFloor is what each connection may hold without the budget, in bytes. A
	// statement of up to 10 KiB fits with its copies.
	connectionFloor = 64 << 10
	// budgetShare is the share of memory_mb that long messages, long answers and prepared
	// statements may take together. As much again is left for garbage, and the rest for
	// the process without callers, idle sessions and their floors.
	budgetShare = 1.0 / 4
	// memoryLimitShare is the share of memory_mb beyond which the Go runtime collects
	// garbage more often.
	memoryLimitShare = 0.5
	// reservedFDs are kept for connections to servers, instances, operators and the store.
	reservedFDs = 300
	// outgoingFDs are those of reservedFDs that the ports may not take: files, and the
	// connections that the instance opens.
	outgoingFDs = 150
	// refusedCallers is the number of callers beyond the limit that may be told so at the
	// same time.
	refusedCallers = 32
	// peerReserve and adminConnections are kept for connections of other instances, and for
	// the administration and the health port each.
	peerReserve      = 48
	adminConnections = 24
	// maxSharedPlaces is the number of connections to the port for instances from addresses
	// of no member. All of 64 may connect several times before they are members. It is at most
	// the share sharedPlacesShare of the sockets.
	maxSharedPlaces   = 256
	sharedPlacesShare = 1.0 / 4
	// placesPerInstance is what a member has places for: the connections of its pools, and
	// some that are being closed.
	placesPerInstance = 2 * maxCallsPerPeer
)

// newBudget returns the budget of the memory limit.
func (i *Instance) newBudget() *budgeter.Budget {
	return budgeter.New(budgeter.Config{
		Bytes: int64(float64(i.settings.memoryBytes()) * budgetShare), Floor: connectionFloor,
		Clock: i.clock, Metrics: i.registry, Refusals: budgeter.NewRefusals(i.registry, i.componentLog("budgeter")),
	})
}

// limitSockets makes the ports share one count of sockets.
func (i *Instance) limitSockets(l *listeners) {
	s := limiter.New(limiter.Config{
		Max: i.maxSockets(), Clock: i.clock, Metrics: i.registry, Refusals: i.budget.Refusals(),
	})
	callers := i.settings.MaxFDs - reservedFDs
	l.callers = s.NewUse("callers", 0, callers+refusedCallers).Listen(l.callers)
	peers := s.NewUse("peers", peerReserve, 0).Listen(l.peers)
	peers.OnFull(func() bool { return i.server != nil && i.server.CloseOne() })
	peers.HavePlaces(func(a net.Addr) bool { return i.server != nil && i.server.HasPlace(a) })
	l.peers = peers
	for name, listener := range map[string]*net.Listener{"admin": &l.admin, "health": &l.health} {
		u := s.NewUse(name, adminConnections, adminConnections+1)
		*listener = budgeter.NewListener(u.Listen(*listener), adminConnections, i.clock, i.budget.Refusals())
	}
}

// maxSockets returns the number of sockets that the ports share. It is also the limit of the
// connections of other instances, because a lower one would refuse members of a large fleet.
func (i *Instance) maxSockets() int { return i.settings.MaxFDs - outgoingFDs }

// places returns who has places at the port for instances.
func (i *Instance) places() messenger.Places {
	return messenger.Places{
		Instances: i.countMembers, PerInstance: placesPerInstance,
		Shared: min(maxSharedPlaces, int(float64(i.maxSockets())*sharedPlacesShare)), Refusals: i.budget.Refusals(),
	}
}

// countMembers returns how many other members and seeds have the address.
func (i *Instance) countMembers(a netip.Addr) int {
	return messenger.CountAddresses(i.settings.peerAddresses(i.membership.Members()))[a]
}

// peerAddresses returns the addresses of the other members and seeds. Members that do not answer
// are not listed, but seeds keep their places while they are silent.
func (s Settings) peerAddresses(members []enroller.Member) []string {
	addresses := slices.Clone(s.Peers.Seeds)
	for _, m := range members {
		addresses = append(addresses, m.Address)
	}
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == s.Peers.Advertise })
}

// isKnownByAddress reports whether other instances see connections of this one from the address
// that it advertises, by which they know a member.
func (s Settings) isKnownByAddress() bool {
	ip, err := netip.ParseAddr(s.IP)
	advertised, advertisedErr := netip.ParseAddrPort(s.Peers.Advertise)
	return err == nil && advertisedErr == nil && ip.Unmap() == advertised.Addr().Unmap()
}

func (s Settings) memoryBytes() int64 { return int64(s.MemoryMB) << 20 }
