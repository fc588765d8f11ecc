package noder

import (
	"io"
	"math"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/platform"
)

// Guards against a limit of sockets that does not follow the settings, and against reserves that
// leave less than all sessions of the settings.
func TestSocketsOfTheSettings(t *testing.T) {
	for _, tc := range []struct {
		name                          string
		descriptors, setting          int
		wantTotal, sessionsBesideRest int
	}{
		{"smallest machine of the large deployments", 4200, 0, 4000, 3600},
		{"small machine", 900, 0, 700, 300},
		{"fewest descriptors", 300, 0, 400, 100},
		{"own setting", 4200, 2000, 2000, 0},
		{"own setting below the least", 4200, 10, 400, 0},
		{"no limit in the settings", 0, 0, math.MaxInt32, 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			n := &Node{
				settings: platform.Settings{MaxFileDescriptors: tc.descriptors, MaxSockets: tc.setting, MemoryBytes: 184 << 20},
				clock:    clockwork.NewFakeClock(), metrics: metrics.NewRegistry(), log: log,
			}
			n.budget = n.newBudget()
			n.newSockets()
			total := int(metrics.GetOrRegisterGauge("sockets.max", n.metrics).Value())
			if total != tc.wantTotal {
				t.Errorf("%d sockets, want %d", total, tc.wantTotal)
			}
			const listener = 2
			rest := controlReserve + listener + 2*(probeSockets+listener) + serverReserve + peerReserve + storeReserve
			if left := total - rest - listener; left < tc.sessionsBesideRest {
				t.Errorf("%d sockets are left for callers, want %d", left, tc.sessionsBesideRest)
			}
		})
	}
}
