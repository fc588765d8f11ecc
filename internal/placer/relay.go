package placer

import "github.com/cespare/xxhash/v2"

const (
	// maxDirectFleet is the largest fleet whose instances all ask the holder of the
	// duty for promises: nine questions a second each, about 100 us of its
	// processor per question.
	maxDirectFleet = 32
	// instancesPerRelay is how many instances ask one relay.
	instancesPerRelay = 16
)

// PrimaryLeaseRelay returns the instance of the same availability zone that passes
// promises on to self; false if self asks their giver. It answers fleets in which
// the questions of all would take much of one instance's processor and of the
// links between zones.
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
