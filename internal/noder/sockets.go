package noder

import (
	"math"

	"marigoldhub.example/hub/internal/limiter"
)

const (
	// platformFiles is the number of descriptors that the platform keeps for files. Sockets
	// share the others.
	platformFiles = 200
	// minSockets are used however few descriptors the settings allow. They hold all reserves.
	minSockets = 400
	// unlimitedSockets is the number of sockets without a limit in the settings.
	unlimitedSockets = math.MaxInt32
	// refusedCallers is the number of callers beyond the sessions that may be told at the
	// same time that there is no room.
	refusedCallers = 32
	// controlReserve, serverReserve, peerReserve and storeReserve are kept for connections
	// of other instances, to backend servers, to other instances, and to the store with the
	// promote call. A small fleet needs no more; a large one takes more while they are free.
	controlReserve = 64
	serverReserve  = 64
	peerReserve    = 64
	storeReserve   = 8
	// probeSockets is the number of sockets of the readiness and of the metrics port: the
	// open connections, and some that are being closed.
	probeSockets = maxProbeConnections + 4
)

// sockets are the uses of the process's sockets.
type sockets struct {
	// total is the number of all sockets.
	total                                                       int
	callers, control, readiness, metrics, servers, peers, store *limiter.Use
}

// newSockets divides the sockets of the settings; without a limit in the settings there is
// none but those of the ports. All ports and outgoing connections share
// one count, so that the ports together cannot exceed the descriptors.
func (n *Node) newSockets() sockets {
	total := unlimitedSockets
	switch {
	case n.settings.MaxSockets > 0:
		total = max(n.settings.MaxSockets, minSockets)
	case n.settings.MaxFileDescriptors > 0:
		total = max(n.settings.MaxFileDescriptors-platformFiles, minSockets)
	}
	s := limiter.New(limiter.Config{Max: total, Clock: n.clock, Metrics: n.metrics, Refusals: n.budget.Refusals()})
	return sockets{
		total:     total,
		callers:   s.NewUse("callers", minSessions, maxSessions(n.settings)+refusedCallers).CloseFirst(),
		control:   s.NewUse("control", controlReserve, 0),
		readiness: s.NewUse("readiness", probeSockets, probeSockets),
		metrics:   s.NewUse("metrics", probeSockets, probeSockets),
		servers:   s.NewUse("servers", serverReserve, 0),
		peers:     s.NewUse("peers", peerReserve, 0),
		store:     s.NewUse("store", storeReserve, 0),
	}
}
