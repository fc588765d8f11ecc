package checker

import (
	"crypto/subtle"
	"slices"
	"strings"

	"marigoldhub.example/hub/internal/informer"
)

// teamUserPrefix begins the user names with which members of teams connect.
const teamUserPrefix = "team:"

// Team describes callers that connect with common keys, as the user "team:" and the
// team's name. A team may have several keys, so that one can be replaced while another
// one is in use.
type Team struct {
	Name   string   `toml:"name"`
	Groups []string `toml:"groups"`
	// Keys are the SHA-256 digests of the keys, in lower-case hexadecimal digits.
	Keys []string `toml:"keys"`
	// ConnectionLimit bounds the team's connections at one instance, and PinnedLimit the
	// server connections that it may pin there.
	ConnectionLimit int `toml:"connection_limit"`
	PinnedLimit     int `toml:"pinned_limit"`
	// RatePerSecond is how many operations the team may begin in a second, over all
	// instances; without it there is no limit. Burst is how many more it may begin in the
	// window that the settings of the instances name.
	RatePerSecond float64 `toml:"rate_per_second,omitempty"`
	Burst         float64 `toml:"burst,omitempty"`
}

// TeamOfUser returns the name of the team that a user name stands for.
func TeamOfUser(user string) (team string, ok bool) { return strings.CutPrefix(user, teamUserPrefix) }

// HasKey reports whether the team holds the key. The time that it takes does not depend
// on the digest.
func (t Team) HasKey(d informer.KeyDigest) bool {
	held := 0
	for _, key := range t.Keys {
		held |= subtle.ConstantTimeCompare([]byte(key), []byte(d.String()))
	}
	return held == 1
}

// Fingerprints returns the fingerprints of the team's keys.
func (t Team) Fingerprints() []string {
	var out []string
	for _, key := range t.Keys {
		out = append(out, fingerprintOf(key))
	}
	return out
}

// MayUse reports whether the team may use the databases of a group.
func (t Team) MayUse(group string) bool { return slices.Contains(t.Groups, group) }

// Caller returns the caller that the members of the team are. Keys are sent as they are,
// so TLS is required.
func (t Team) Caller() Caller {
	return Caller{
		Name: teamUserPrefix + t.Name, Groups: t.Groups, ConnectionLimit: t.ConnectionLimit, PinnedLimit: t.PinnedLimit, TLSRequired: true,
	}
}
