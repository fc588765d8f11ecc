package exchangertest

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/tracker"
)

// conn is a connection to one server.
type conn struct {
	cluster   *Cluster
	server    string
	user      string
	state     exchanger.State
	wrote     bool
	readWrite bool
}

// Dial implements [exchanger.Dialer].
func (c *Cluster) Dial(t exchanger.Target, _ time.Time) (exchanger.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[t.ServerID]
	switch {
	case s == nil:
		return nil, fmt.Errorf("server %s has ended: %w", t.ServerID, syscall.ECONNREFUSED)
	case s.down:
		return nil, fmt.Errorf("server %s is unreachable", t.ServerID)
	case s.full:
		return nil, &exchanger.RefusedError{Code: exchanger.TooManyConnections}
	}
	return &conn{cluster: c, server: t.ServerID, user: t.User}, nil
}

// Exchange implements [exchanger.Conn].
func (c *conn) Exchange(deadline time.Time, statements ...exchanger.Statement) ([]exchanger.Answer, error) {
	var answers []exchanger.Answer
	for _, st := range statements {
		if f := c.cluster.OnStatement; f != nil {
			f(c.server, st)
		}
		a, err := c.run(st)
		if err != nil {
			return answers, err
		}
		answers = append(answers, a)
	}
	return answers, nil
}

// Close implements [exchanger.Conn].
func (c *conn) Close() error { return nil }

func (c *conn) run(st exchanger.Statement) (exchanger.Answer, error) {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	s := c.cluster.servers[c.server]
	if s == nil || s.down {
		return exchanger.Answer{}, exchanger.ErrConnectionLost
	}
	a, err := c.cluster.execute(c, s, st)
	a.State, a.Position = c.state, s.log
	return a, err
}

// execute runs a statement at the server. The caller holds mu.
func (c *Cluster) execute(k *conn, s *server, st exchanger.Statement) (exchanger.Answer, error) {
	if s.busy && st.Kind != exchanger.Status {
		return exchanger.ErrorAnswer(exchanger.Busy, k.state, ""), nil
	}
	if !st.MinPosition.IsZero() && (s.log.Compare(st.MinPosition) < 0 || s.behind && st.MinPosition.Offset > 0) {
		return exchanger.ErrorAnswer(exchanger.Behind, k.state, ""), nil
	}
	switch st.Kind {
	case exchanger.Status:
		return s.report(), nil
	case exchanger.Pause:
		if s.role == exchanger.Replica && st.Term > s.term {
			s.paused = st.Term
		}
		return s.report(), nil
	case exchanger.Resume:
		s.paused = 0
		return s.report(), nil
	case exchanger.StepDown:
		if s.role == exchanger.Primary && st.Term > s.term {
			s.role = exchanger.Replica
		}
		return s.report(), nil
	}
	return c.executeCallerStatement(k, s, st)
}

// executeCallerStatement runs a statement of a caller. The caller holds mu.
func (c *Cluster) executeCallerStatement(k *conn, s *server, st exchanger.Statement) (exchanger.Answer, error) {
	ok := exchanger.Answer{Signature: s.id}
	if s.failing && (st.Kind == exchanger.Read || st.Kind == exchanger.Write || st.Kind == exchanger.Execute) {
		return exchanger.ErrorAnswer(exchanger.Failed, k.state, s.id), nil
	}
	readOnly := exchanger.ErrorAnswer(exchanger.ReadOnly, k.state, s.id)
	switch st.Kind {
	case exchanger.Begin, exchanger.BeginReadOnly:
		if st.Kind == exchanger.Begin && s.role != exchanger.Primary {
			return readOnly, nil
		}
		k.state, k.wrote, k.readWrite = exchanger.InTransaction, false, st.Kind == exchanger.Begin
	case exchanger.Rollback:
		k.state = exchanger.Idle
	case exchanger.Commit:
		k.state = exchanger.Idle
		if k.wrote {
			return c.commit(k, s, st, ok, readOnly)
		}
		c.recordRun(k, s, st)
	case exchanger.Read, exchanger.Execute:
		c.recordRun(k, s, st)
	case exchanger.Write:
		if s.role != exchanger.Primary {
			return readOnly, nil
		}
		if k.state == exchanger.InTransaction {
			k.wrote = true
			if c.OnRun != nil {
				c.OnRun(Run{s.id, k, k.user, st, s.entries})
			}
			return ok, nil
		}
		return c.commit(k, s, st, ok, readOnly)
	}
	return ok, nil
}

// recordRun records that a statement ran.
func (c *Cluster) recordRun(k *conn, s *server, st exchanger.Statement) {
	c.ran = append(c.ran, s.id+" "+st.ID)
	if c.OnRun != nil {
		c.OnRun(Run{s.id, k, k.user, st, s.entries})
	}
}

// commit appends a commit to the log of the primary and of the replicas that
// receive it. If there is no such replica, the connection is lost instead of an
// answer.
func (c *Cluster) commit(k *conn, s *server, st exchanger.Statement, ok, readOnly exchanger.Answer) (exchanger.Answer, error) {
	if s.role != exchanger.Primary {
		return readOnly, nil
	}
	s.log = tracker.Position{Term: s.term, Offset: s.log.Offset + 1}
	s.entries = append(slices.Clip(s.entries), st.ID)
	c.recordRun(k, s, st)
	var receivers []string
	for _, r := range c.servers {
		switch {
		case !c.receives(r, s.id, s.term):
		case c.ReplicationDelay == nil || len(receivers) == 0:
			r.log, r.entries = s.log, s.entries
			receivers = append(receivers, r.id)
		default:
			c.receiveLater(r, s)
		}
	}
	if c.OnCommit != nil {
		c.OnCommit(st.ID, s.id, s.log, receivers)
	}
	if len(receivers) == 0 {
		return exchanger.Answer{}, exchanger.ErrConnectionLost
	}
	if s.log.Compare(c.acknowledged) > 0 {
		c.acknowledged = s.log
	}
	return ok, nil
}

func (s *server) report() exchanger.Answer {
	return exchanger.Answer{Signature: s.id, Report: &exchanger.Report{
		Role: s.role, Term: s.term, Received: s.log, PausedTerm: s.paused, Lag: s.lag, BusySlots: 1 + s.load, Connections: 1,
	}}
}
