package replacer

import (
	"errors"
	"syscall"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/tracker"
)

// progress is how far the most advanced replica has received the primary's log.
type progress struct {
	received tracker.Position
	// behind is true if the primary's log is longer than every replica's.
	behind bool
}

// minStalledReplicas is how many replicas must answer before a stalled primary is
// replaced: one becomes the next primary and needs another for its own commits.
const minStalledReplicas = 2

// newestReplica compares the replicas with the primary. It returns false if the
// primary or too many replicas did not report.
func newestReplica(reports []attester.ServerReport, l attester.Leader) (progress, bool) {
	var p progress
	var leader tracker.Position
	hasLeader, replicas := false, 0
	for _, r := range reports {
		switch {
		case r.Server.ID == l.Server.ID && r.Report.Role == exchanger.Primary:
			leader, hasLeader = r.Report.Received, true
		case isReplica(r.Report):
			replicas++
			if r.Report.Received.Compare(p.received) > 0 {
				p.received = r.Report.Received
			}
		}
	}
	p.behind = leader.Compare(p.received) > 0
	return p, hasLeader && replicas >= minStalledReplicas
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
