package noder

import (
	"net"
	"net/netip"
	"sync"

	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/registrar"
	"marigoldhub.example/hub/platform"
)

// listedAddresses are the IP addresses of the other listed instances, and of the seeds while
// none is listed.
type listedAddresses struct {
	registrar *registrar.Registrar
	seeds     []string

	mu sync.Mutex
	// changed is closed when instances is outdated.
	changed   <-chan struct{}
	instances map[netip.Addr]int
}

// count returns how many listed instances have the address.
func (l *listedAddresses) count(a netip.Addr) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isOutdated() {
		l.changed = l.registrar.Changed()
		var addresses []string
		for _, o := range l.registrar.Others() {
			addresses = append(addresses, o.Address)
		}
		if len(addresses) == 0 {
			addresses = l.seeds
		}
		l.instances = messenger.CountAddresses(addresses)
	}
	return l.instances[a]
}

func (l *listedAddresses) isOutdated() bool {
	select {
	case <-l.changed:
		return true
	default:
		return l.changed == nil
	}
}

// controlIP returns the source address of connections to other instances, by which these
// recognize a listed instance; nil lets the system choose.
func controlIP(s platform.Settings) net.IP {
	a, err := netip.ParseAddrPort(s.ControlAddress)
	if err != nil || a.Addr().IsUnspecified() {
		return nil
	}
	return a.Addr().AsSlice()
}

// sharedPlaces returns the number of connections to the control port that are not those of
// listed instances.
func (n *Node) sharedPlaces() int {
	return min(maxSharedPlaces, int(float64(n.sockets.total)*sharedPlacesShare))
}

// maxControlConnections returns how many connections the control port accepts. The count of
// sockets limits them; a lower limit would refuse instances of a large fleet.
func (n *Node) maxControlConnections() int {
	if n.sockets.total == unlimitedSockets {
		return messenger.DefaultMaxConnections + n.sharedPlaces()
	}
	return n.sockets.total
}
