package tracker

import "time"

// Observation is the result of the probes of one server.
type Observation struct {
	// Server is the server's name.
	Server string
	// Status is the newest status. SentAt and ReceivedAt are the times of its
	// request and its arrival; they are zero when no probe has succeeded yet.
	Status     Status
	SentAt     time.Time
	ReceivedAt time.Time
	// Failures counts the failed probes since the last successful one.
	Failures int
	// FailedAt is the time at which the first of them was sent.
	FailedAt time.Time
	// Refused is set when the server refused a connection since the last
	// successful probe.
	Refused bool
}

// Seen reports whether a probe has ever succeeded.
func (o Observation) Seen() bool { return !o.SentAt.IsZero() }

// Probed reports whether a probe has ever succeeded or failed.
func (o Observation) Probed() bool { return o.Seen() || o.Failures > 0 }

// Reachable reports whether the newest probe succeeded.
func (o Observation) Reachable() bool { return o.Seen() && o.Failures == 0 }

// participatesIn reports whether the server took part in the term when the
// status was computed: it led or followed in it and had accepted no later term.
// A fenced server does not take part.
func (o Observation) participatesIn(term uint64) bool {
	if !o.Seen() || o.Status.Term != term {
		return false
	}
	return o.Status.Role == RolePrimary || o.Status.Role == RoleReplica
}

// stores reports whether the server stored p in p's own term.
func (o Observation) stores(p Position) bool {
	return o.participatesIn(p.Term) && o.Status.Log.Term == p.Term && o.Status.Log.Offset >= p.Offset
}

func (o Observation) withStatus(s Status, sentAt, receivedAt time.Time) Observation {
	return Observation{Server: o.Server, Status: s, SentAt: sentAt, ReceivedAt: receivedAt}
}

func (o Observation) withFailure(sentAt time.Time, refused bool) Observation {
	if o.Failures == 0 {
		o.FailedAt = sentAt
	}
	o.Failures++
	o.Refused = o.Refused || refused
	return o
}
