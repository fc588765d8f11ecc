package enroller

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// maxNameBytes is the longest instance name, address or zone that is accepted.
const maxNameBytes = 128

func (m Member) toWire() *wire.Member {
	return &wire.Member{Instance: m.Instance, Address: m.Address, Zone: m.Zone, Incarnation: m.Incarnation, Leaving: m.Leaving}
}

// memberFromWire returns false when the message does not describe a complete
// member or has an overlong field.
func memberFromWire(w *wire.Member) (Member, bool) {
	m := Member{
		Instance:    w.GetInstance(),
		Address:     w.GetAddress(),
		Zone:        w.GetZone(),
		Incarnation: w.GetIncarnation(),
		Leaving:     w.GetLeaving(),
	}
	complete := m.Instance != "" && m.Address != ""
	bounded := len(m.Instance) <= maxNameBytes && len(m.Address) <= maxNameBytes && len(m.Zone) <= maxNameBytes
	return m, complete && bounded
}

// supersedes reports whether m is preferred to another process with the same
// instance name.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.Address > other.Address
}

func (m Member) sameProcess(other Member) bool {
	return m.Instance == other.Instance && m.Address == other.Address && m.Incarnation == other.Incarnation
}

// hashMembers returns a hash of the members in their order. It is never 0: a
// hash of 0 in a message means that its sender does not know the receiver. The
// hash has 32 bits to keep heartbeats short. If two different lists have the
// same hash, the difference is detected at the next change of either list.
func hashMembers(members []Member) uint64 {
	d := xxhash.New()
	var buf [9]byte
	for _, m := range members {
		_, _ = d.WriteString(m.Instance + "\x00" + m.Address + "\x00" + m.Zone + "\x00")
		binary.BigEndian.PutUint64(buf[:], m.Incarnation)
		buf[8] = 0
		if m.Leaving {
			buf[8] = 1
		}
		_, _ = d.Write(buf[:])
	}
	return max(d.Sum64()&0xffffffff, 1)
}

// memberState is what this instance knows about one member.
type memberState struct {
	member Member
	// heardAt is the local time of the last message received directly from it.
	heardAt time.Time
	// heartbeatAt is the local time of the last heartbeat that the member sent.
	heartbeatAt time.Time
	// sentListHash is the hash of the list that the member was sent last, at
	// the local time listSentAt.
	sentListHash uint64
	listSentAt   time.Time
}

func (e *memberState) alive(now time.Time, limit time.Duration) bool {
	return now.Sub(e.heardAt) <= limit
}
