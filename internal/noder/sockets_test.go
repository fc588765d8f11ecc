package noder

import (
	"io"
	"math"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/platform"
)

// Guards against a limit of sockets that does not follow the settings, against reserves that
// leave less than all sessions of the settings, and against a control port that refuses listed
// instances while sockets are left.
func TestSocketsOfTheSettings(t *testing.T) {
	for _, tc := range []struct {
		name                          string
		descriptors, setting          int
		wantTotal, sessionsBesideRest int
		wantControl                   int // the connections that the control port accepts
	}{
		{"smallest machine of the large deployments", 4200, 0, 4000, 3600, 4000},
		{"small machine", 900, 0, 700, 300, 700},
		{"fewest descriptors", 300, 0, 400, 100, 400},
		{"own setting", 4200, 2000, 2000, 0, 2000},
		{"own setting below the least", 4200, 10, 400, 0, 400},
		{"no limit in the settings", 0, 0, math.MaxInt32, 100, messenger.DefaultMaxConnections + maxSharedPlaces},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			n := &Node{
				settings: platform.Settings{MaxFileDescriptors: tc.descriptors, MaxSockets: tc.setting, MemoryBytes: 184 << 20},
				clock:    clockwork.NewFakeClock(), metrics: metrics.NewRegistry(), log: log,
			}
			n.budget = n.newBudget()
			n.sockets = n.newSockets()
			total := int(metrics.GetOrRegisterGauge("sockets.max", n.metrics).Value())
			if total != tc.wantTotal {
				t.Errorf("%d sockets, want %d", total, tc.wantTotal)
			}
			if got := n.controlConfig(nil).MaxConnections; got != tc.wantControl {
				t.Errorf("the control port accepts %d connections, want %d", got, tc.wantControl)
			}
			const listener = 2
			rest := controlReserve + listener + 2*(probeSockets+listener) + serverReserve + peerReserve + storeReserve
			if left := total - rest - listener; left < tc.sessionsBesideRest {
				t.Errorf("%d sockets are left for callers, want %d", left, tc.sessionsBesideRest)
			}
		})
	}
}
