package replacer

import (
	"fmt"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// fence describes which servers must be kept from acknowledging commits before a
// server is promoted to lead the term.
type fence struct {
	term uint64
	// leader is the primary of the newest known term, started at the time; empty if a
	// later primary than the known one has led and it is not known which server that is.
	leader string
	born   int64
	// stale are servers that report to lead an earlier term.
	stale map[string]bool
	// asked is the server that the platform was last asked to promote; empty if none. The
	// call may take effect late, so the same server is chosen again if it may lead. Hinted
	// is the server for which an earlier coordinator may have asked.
	asked, hinted string
}

// withAsked returns the fence with another server that the platform was asked to promote.
func (f fence) withAsked(id string) fence {
	f.asked = id
	return f
}

// newFence returns the fence for the replacement of the primary, by the terms that
// this instance and the servers know.
func (t *task) newFence(old attester.Leader, reports []attester.ServerReport) fence {
	// The known leader may be suspected, but no other can have led its term.
	if l, _ := t.group().Leader(); l.Term > old.Term {
		old = l
	}
	newest := old
	for _, r := range reports {
		if r.Report.Term > newest.Term {
			newest = attester.Leader{Term: r.Report.Term}
		}
	}
	for _, r := range reports {
		if r.Report.Role == exchanger.Primary && r.Report.Term == newest.Term {
			newest.Server = r.Server
		}
	}
	f := fence{term: newest.Term + 1, leader: newest.Server.ID, born: newest.Server.Born, stale: map[string]bool{}}
	for _, r := range reports {
		if r.Report.Role == exchanger.Primary && !f.isLeader(r.Server) {
			f.stale[r.Server.ID] = true
		}
	}
	return f
}

// isLeader reports whether the server is the primary of the newest known term. After a
// restart it is not: it may hold nothing of its log, and must be paused like a replica.
func (f fence) isLeader(srv informer.Server) bool { return srv.ID == f.leader && srv.Born == f.born }

// commands returns what the server is told in order to fence it. A stale primary
// becomes a replica by stepping down and then must be paused like one.
func (f fence) commands(srv informer.Server) []exchanger.Statement {
	stepDown := exchanger.Statement{Kind: exchanger.StepDown, Term: f.term}
	pause := exchanger.Statement{Kind: exchanger.Pause, Term: f.term}
	switch {
	case f.isLeader(srv):
		return []exchanger.Statement{stepDown}
	case f.stale[srv.ID]:
		return []exchanger.Statement{stepDown, pause}
	}
	return []exchanger.Statement{pause}
}

// isNeeded reports whether the fence is worth waiting for the server. The leader has
// usually failed.
func (f fence) isNeeded(srv informer.Server) bool { return !f.isLeader(srv) }

// member returns the server as the outcome of its commands shows it.
func (f fence) member(o outcome) member {
	srv := o.server
	m := member{id: srv.ID, draining: srv.Draining, unlisted: o.unlisted, isOldPrimary: f.isLeader(srv), asked: srv.ID == f.asked, hinted: srv.ID == f.hinted}
	if r := o.report; r != nil {
		m.received = r.Received
		isLastLeader := m.isOldPrimary && r.Term == f.term-1
		m.fenced = isReplica(*r) && (isLastLeader || r.PausedTerm >= f.term)
	}
	return m
}

// checkTerm returns an error if the report shows that a primary of the fence's term
// or a later one leads or has led. Then the former leader is one of its replicas by
// now, and that it gave up its role fences nothing.
func (f fence) checkTerm(o outcome) error {
	r := o.report
	if r == nil || max(r.Term, r.Received.Term) < f.term {
		return nil
	}
	return fmt.Errorf("server %s knows term %d: a later primary leads or has led", o.server.ID, max(r.Term, r.Received.Term))
}

// fenceAndChoose fences all servers that it can reach and chooses the next primary
// when the wait has returned.
func (t *task) fenceAndChoose(f fence, wait func()) (nominee, error) {
	outcomes, err := t.commandAll(f.commands, f.isNeeded)
	list := t.cfg.Informer.List()
	wait()
	c := t.chooseFenced(f, outcomes, err)
	c.list = list
	t.logChoice(c)
	if c.err != nil {
		t.yieldIfBlocked()
	}
	return nominee{c.server, c.needed}, c.err
}

// startExchange starts to exchange state with the other instances, which tell of
// acknowledged commits. The returned function waits for their answers up to
// peersTimeout.
func (t *task) startExchange() (await func()) {
	exchanged := make(chan struct{})
	go func() {
		defer close(exchanged)
		t.cfg.Peers.Broadcast(t.ctx)
	}()
	return func() {
		select {
		case <-exchanged:
		case <-t.cfg.Clock.After(peersTimeout):
		}
	}
}

// chooseFenced chooses the server that may lead next by the outcomes of the commands. The
// error is that of commandAll.
func (t *task) chooseFenced(f fence, outcomes []outcome, err error) choice {
	c := choice{term: f.term, err: err}
	var members []member
	present := identify(outcomes)
	t.recordLostLogs(f.term, present)
	asReplica := t.replicaLogs.update(f, present)
	for _, o := range present {
		if err := f.checkTerm(o); err != nil && c.err == nil {
			c.err = err
		}
		m := f.member(o)
		members = append(members, m)
		part := o.part()
		if m.isOldPrimary {
			part = partOldPrimary
		}
		cand := t.newCandidate(o, part)
		cand.Fenced = m.fenced
		c.candidates = append(c.candidates, cand)
	}
	c.addLeftOut(t, outcomes)
	least, wholeLog := t.requirements()
	c.acknowledged, c.wholeLog, c.asked, c.hinted = least, wholeLog, f.asked, f.hinted
	if c.err != nil {
		return c
	}
	if asReplica.Compare(least) > 0 {
		least = asReplica
	}
	for i, m := range members {
		members[i].isGivenUp = wholeLog && m.isOldPrimary && !m.fenced && t.isSilent(m.id)
	}
	c.needed, _ = neededLog(members, least, wholeLog)
	c.server, c.err = choose(members, least, wholeLog)
	return c
}
