package gossiper

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"google.golang.org/protobuf/proto"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// recordsView has a list of servers and a configuration for whoever asks.
type recordsView struct{ View }

func (recordsView) Learn(*wire.PeerState, time.Time) bool { return false }

func (recordsView) State(*wire.PeerState) *wire.PeerState {
	return &wire.PeerState{
		ConfigurationVersion: 7, Configuration: make([]byte, 50_000), ServersRevision: 9,
		Servers: []*wire.ServerEntry{{Key: "servers/a", Value: make([]byte, 150_000)}},
	}
}

// Guards against an instance that all others ask for the configuration and the list of servers at
// once, as after a loss of all power: on its full link each answer came too late, and was asked
// for again. It must answer all, and send its records to as many as its link carries.
func TestRecordsAreSentAsFastAsTheLinkCarries(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := Service{View: recordsView{}, Gossiper: &Gossiper{transfers: newTransferLimiter(1_250_000, clock)}}
	const seconds, asked = 3, 100
	sent := 0
	for range seconds * asked {
		state, err := s.Exchange(t.Context(), &wire.PeerState{})
		if err != nil || state.GetConfigurationVersion() != 7 || state.GetServersRevision() != 9 {
			t.Fatal("the view is not told", err)
		}
		if hasRecords(state) {
			sent += proto.Size(state)
		}
		clock.Advance(time.Second / asked)
	}
	// One more may be under way at the end.
	if least, most := seconds*900_000, seconds*1_000_000+300_000; sent < least || sent > most {
		t.Errorf("%d bytes in %d s, want %d to %d", sent, seconds, least, most)
	}
}
