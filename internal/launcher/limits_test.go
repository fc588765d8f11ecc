package launcher

import (
	"slices"
	"testing"

	"marigoldhub.example/hub/internal/enroller"
)

// Guards against seeds without places while they are silent or no member is known, and against
// an instance that is counted twice, so that a crowd at its address gets more places.
func TestAddressesWithPlaces(t *testing.T) {
	const self, a, b = "10.0.0.1:7432", "10.0.0.2:7432", "10.0.0.3:7432"
	members := []enroller.Member{{Instance: "self", Address: self}, {Instance: "a", Address: a}}
	for _, tc := range []struct {
		name    string
		members []enroller.Member
		seeds   []string
		want    []string
	}{
		{"members", members, nil, []string{a}},
		{"no member yet", nil, []string{self, a, b}, []string{a, b}},
		{"silent seed", members, []string{self, a, b}, []string{a, b}},
	} {
		s := Settings{Instance: "self", Peers: PeerSettings{Advertise: self, Seeds: tc.seeds}}
		if got := s.peerAddresses(tc.members); !slices.Equal(got, tc.want) {
			t.Errorf("%s: addresses %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against an instance that connects from another address than it advertises without a
// word in the log: the others take it for a stranger.
func TestIsKnownByAddress(t *testing.T) {
	for _, tc := range []struct {
		ip, advertise string
		want          bool
	}{
		{"10.0.0.1", "10.0.0.1:7432", true},
		{"::ffff:10.0.0.1", "10.0.0.1:7432", true},
		{"10.0.0.1", "10.0.0.2:7432", false},
		{"10.0.0.1", "0.0.0.0:7432", false},
	} {
		s := Settings{IP: tc.ip, Peers: PeerSettings{Advertise: tc.advertise}}
		if got := s.isKnownByAddress(); got != tc.want {
			t.Errorf("ip %s, advertise %s: %v, want %v", tc.ip, tc.advertise, got, tc.want)
		}
	}
}
