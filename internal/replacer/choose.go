package replacer

import (
	"fmt"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/tracker"
)

// member is a server of the service as it was found after fencing.
type member struct {
	id       string
	draining bool
	// unlisted is true for a server that runs but is not listed, so that no caller would
	// find it as the primary.
	unlisted bool
	// isOldPrimary is true for the primary of the newest known term.
	isOldPrimary bool
	// isGivenUp is true for an old primary that has been silent for so long that its log is
	// not waited for.
	isGivenUp bool
	// asked is true for the server that the platform was last asked to promote, hinted for
	// one for which an earlier coordinator may have asked.
	asked, hinted bool
	// fenced is true if the server reported that it stepped down or is paused.
	fenced   bool
	received tracker.Position
}

// nominee is a server that may lead next, and up to where its log is needed.
type nominee struct {
	id     string
	needed tracker.Position
}

// choose returns the server that may lead next without losing an acknowledged
// commit, or an error that says why none may.
//
//   - If the old primary is fenced, its log has every acknowledged commit: a
//     server whose log is as long may lead, the old primary itself included.
//   - If all replicas are fenced, one of them has every acknowledged commit: the
//     longest log may lead.
//
// Least is a position that is known to have been acknowledged, or that the old primary
// had received as a replica before it led (see replicaLogs). If the longest log
// is shorter, a replica that acknowledged it has left, and only the old primary
// has the commit. If wholeLog is true, the log of an old primary that is fenced is needed
// even if all replicas are, and none may lead if all replicas are empty while the old primary
// is out of reach and not given up.
func choose(members []member, least tracker.Position, wholeLog bool) (string, error) {
	need, err := neededLog(members, least, wholeLog)
	if err != nil {
		return "", err
	}
	return cheapest(members, need)
}

// neededLog returns where the log of the next primary must end at least (see choose). If
// none may lead, it returns least and the reason.
func neededLog(members []member, least tracker.Position, wholeLog bool) (tracker.Position, error) {
	longest := tracker.Position{}
	replicas, fenced, oldFenced, oldAway := 0, 0, false, false
	for _, m := range members {
		if !m.isOldPrimary {
			replicas++
		}
		if !m.fenced {
			oldAway = oldAway || m.isOldPrimary && !m.isGivenUp
			continue
		}
		if m.isOldPrimary {
			oldFenced = true
		} else {
			fenced++
		}
		if m.received.Compare(longest) > 0 {
			longest = m.received
		}
	}
	switch {
	case !oldFenced && fenced < replicas:
		return least, fmt.Errorf("the old primary is out of reach and only %d of %d replicas are fenced", fenced, replicas)
	case fenced == 0 && !oldFenced:
		return least, fmt.Errorf("no server is fenced")
	case oldAway && wholeLog && longest.IsZero():
		return least, fmt.Errorf("the old primary is out of reach and all logs of the replicas are empty")
	case longest.Compare(least) < 0:
		return least, fmt.Errorf("the longest log ends at %v, before %v, which may be acknowledged", longest, least)
	}
	need := longest
	if oldFenced && fenced == replicas && fenced > 0 && !wholeLog {
		need = longestReplica(members)
		if need.Compare(least) < 0 {
			need = longest
		}
	}
	return need, nil
}

// longestReplica returns the end of the longest log of the fenced replicas. When
// all are fenced, that log has every acknowledged commit even if the old primary's
// is longer.
func longestReplica(members []member) tracker.Position {
	longest := tracker.Position{}
	for _, m := range members {
		if !m.isOldPrimary && m.fenced && m.received.Compare(longest) > 0 {
			longest = m.received
		}
	}
	return longest
}

// cheapest returns a listed, fenced server whose log is long enough. It prefers the server
// that the platform was asked to promote, then servers that are not draining, then
// those that are not the old primary, then the one that an earlier coordinator may have
// asked for.
func cheapest(members []member, need tracker.Position) (string, error) {
	found, cost := "", 0
	for _, m := range members {
		if !m.fenced || m.unlisted || m.received.Compare(need) < 0 {
			continue
		}
		c := 2
		if m.draining {
			c += 8
		}
		if m.isOldPrimary {
			c += 4
		}
		if m.hinted {
			c--
		}
		if m.asked {
			c = 0
		}
		if found == "" || c < cost {
			found, cost = m.id, c
		}
	}
	if found == "" {
		return "", fmt.Errorf("no listed server that is fenced has the log up to %v", need)
	}
	return found, nil
}

// isReplica reports whether a report shows a server that does not lead.
func isReplica(r exchanger.Report) bool { return r.Role == exchanger.Replica }
