package placer

import "github.com/cespare/xxhash/v2"

const (
	// relayFleet is the largest fleet whose instances all ask the holder of the
	// duty for promises: nine questions a second each, about 100 us of its
	// processor per question.
	relayFleet = 32
	// relayWidth is how many instances ask one relay.
	relayWidth = 16
)

// PromiseRelay returns the instance of the same availability zone that passes
// promises on to self; false if self asks their giver. It answers fleets in which
// the questions of all would take much of one instance's processor and of the
// links between zones.
func PromiseRelay(self Peer, peers []Peer) (Peer, bool) {
	if len(peers) <= relayFleet {
		return Peer{}, false
	}
	var near []Peer
	for _, p := range peers {
		if p.Zone == self.Zone {
			near = append(near, p)
		}
	}
	relays := Rendezvous("promises", near, (len(near)+relayWidth-1)/relayWidth)
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
