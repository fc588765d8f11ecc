package placer

import "github.com/cespare/xxhash/v2"

const (
	// maxDirectFleet is the largest number of instances that all ask the
	// coordinator itself for primary leases: each sends nine requests a second,
	// and a request takes about 100 us of the coordinator's processor.
	maxDirectFleet = 32
	// instancesPerRelay is how many instances ask one relay.
	instancesPerRelay = 16
)

// PrimaryLeaseRelay returns the relay of self: the instance of the same
// availability zone that obtains primary leases from the coordinator and passes
// them on. It returns false if self asks the coordinator directly. Relays keep
// the requests of a large fleet from taking much of the coordinator's processor
// and of the links between zones.
func PrimaryLeaseRelay(self Peer, peers []Peer) (Peer, bool) {
	if len(peers) <= maxDirectFleet {
		return Peer{}, false
	}
	var near []Peer
	for _, p := range peers {
		if p.Zone == self.Zone {
			near = append(near, p)
		}
	}
	relays := Rendezvous("promises", near, (len(near)+instancesPerRelay-1)/instancesPerRelay)
	for _, r := range relays {
		if r.Name == self.Name {
			return Peer{}, false
		}
	}
	if len(relays) == 0 {
		return Peer{}, false
	}
	return relays[xxhash.Sum64String(self.Name)%uint64(len(relays))], true
}
