package replacer

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

const (
	// commandTimeout limits one command to a server.
	commandTimeout = 500 * time.Millisecond
	// oldLimit is how long the old primary may take to step down once all
	// replicas are paused: it has usually failed.
	oldLimit = 30 * time.Millisecond
	// askPeersLimit is how long others may take to tell which commits they saw
	// acknowledged. It covers two ways between zones; those that are cut off do
	// not answer.
	askPeersLimit = 60 * time.Millisecond
	// fencePause separates two attempts to fence while servers are missing.
	fencePause = 150 * time.Millisecond
	// yieldLimit is how long a change waits for servers that this instance cannot
	// reach before it leaves the duty to another, which may reach them. A crashed
	// primary comes back within some seconds.
	yieldLimit = 4 * time.Second
	// rememberLimit is how long a server that vanished from the list without
	// leaving still counts as one that may acknowledge commits: it may live, cut
	// off the store only.
	rememberLimit = 30 * time.Second
	// effectLimit is how long a promotion may take; the platform's take 300 to
	// 600 ms.
	effectLimit = 3 * time.Second
	// effectPause separates two looks whether a promotion has taken effect.
	effectPause = 30 * time.Millisecond
	// callPause separates two calls to the platform.
	callPause = 100 * time.Millisecond
)

// replace changes the primary after a failure.
func (t *task) replace(old attester.Leader, reason string) {
	t.log.WithFields(logrus.Fields{"server": old.Server.ID, "term": old.Term, "reason": reason}).Warn("replacer: primary must be replaced")
	t.beginChange()
	defer t.endChange()
	// The first attempt trusts the term that is known: asking all servers would
	// wait for the one that has failed.
	var reports []attester.ServerReport
	for first := true; t.ctx.Err() == nil && t.cfg.Duty.IsHolding(); first = false {
		if !first || old.Server.ID == "" {
			reports = t.group().Survey()
		}
		term, found := t.nextTerm(old, reports)
		if found {
			t.stuck = time.Time{}
			return
		}
		id, err := t.fenceAndChoose(leadersOf(old, reports), term)
		if err == nil && t.promote(id, term) {
			t.stuck = time.Time{}
			return
		}
		if err != nil {
			t.log.WithError(err).WithFields(logrus.Fields{"term": term}).Warn("replacer: no server may lead yet")
		}
		t.sleep(fencePause)
	}
}

// nextTerm returns the term for a new primary. It returns true if a server
// leads after all: an earlier promotion took effect, or the primary is back.
func (t *task) nextTerm(old attester.Leader, reports []attester.ServerReport) (uint64, bool) {
	newest := max(t.group().Term(), old.Term)
	for _, r := range reports {
		newest = max(newest, r.Report.Term)
	}
	if l, ok := attester.NewestLeader(reports); ok && l.Term >= newest && (l.Server.ID != old.Server.ID || l.Term != old.Term) {
		t.announce(l)
		return 0, true
	}
	return newest + 1, false
}

func (t *task) announce(l attester.Leader) {
	t.group().Learn(l, "replacer")
	if n := t.cfg.Peers.Tell(t.ctx); n > 0 {
		t.log.WithField("unreached", n).Info("replacer: some instances were not told of the new primary")
	}
}

// leadersOf returns the servers that lead or have led: they must step down.
func leadersOf(old attester.Leader, reports []attester.ServerReport) map[string]bool {
	leaders := map[string]bool{}
	if old.Server.ID != "" {
		leaders[old.Server.ID] = true
	}
	for _, r := range reports {
		if r.Report.Role == exchanger.Primary {
			leaders[r.Server.ID] = true
		}
	}
	return leaders
}

// fenceAndChoose fences all servers that it reaches and chooses one.
func (t *task) fenceAndChoose(leaders map[string]bool, term uint64) (string, error) {
	servers := t.servers()
	told := make(chan struct{})
	go func() {
		defer close(told)
		t.cfg.Peers.Tell(t.ctx)
	}()
	reports := t.command(servers, func(srv informer.Server) exchanger.Statement {
		if leaders[srv.ID] {
			return exchanger.Statement{Kind: exchanger.StepDown, Term: term}
		}
		return exchanger.Statement{Kind: exchanger.Pause, Term: term}
	}, func(srv informer.Server) bool { return !leaders[srv.ID] })
	select {
	case <-told:
	case <-t.cfg.Clock.After(askPeersLimit):
	}
	members := make([]member, len(servers))
	for i, srv := range servers {
		m := member{id: srv.ID, draining: srv.Draining, isOld: leaders[srv.ID]}
		if r := reports[i]; r != nil {
			m.received = r.Received
			m.fenced = isReplica(*r) && (m.isOld || r.PausedTerm >= term)
		}
		members[i] = m
	}
	least := t.cfg.Peers.Acknowledged(t.service.Name)
	members = append(members, t.vanished(servers, leaders)...)
	id, err := choose(members, least)
	if err != nil {
		t.yieldIfStuck()
	}
	return id, err
}

// sighting is when a server was last listed, and how many servers that stay
// were listed then, itself included.
type sighting struct {
	at       time.Time
	siblings int
}

// vanished returns the replicas that the list lacks although they have not left
// and nothing has taken their place. A server that crashed comes back under
// another id.
func (t *task) vanished(listed []informer.Server, leaders map[string]bool) []member {
	now := t.cfg.Clock.Now()
	isListed := map[string]bool{}
	staying := 0
	for _, srv := range listed {
		isListed[srv.ID] = true
		if !srv.Draining {
			staying++
		}
	}
	var out []member
	for id, seen := range t.known {
		switch {
		case isListed[id]:
		case now.Sub(seen.at) > rememberLimit:
			delete(t.known, id)
		case !leaders[id] && staying < seen.siblings:
			out = append(out, member{id: id})
		}
	}
	return out
}

// remember notes which servers are listed now.
func (t *task) remember() {
	now := t.cfg.Clock.Now()
	var staying []informer.Server
	for _, srv := range t.servers() {
		if srv.Draining {
			delete(t.known, srv.ID)
		} else {
			staying = append(staying, srv)
		}
	}
	for _, srv := range staying {
		t.known[srv.ID] = sighting{at: now, siblings: len(staying)}
	}
}

// yieldIfStuck leaves the duty to another instance when a change has waited for
// long. Choosing without the missing servers could lose acknowledged commits.
func (t *task) yieldIfStuck() {
	now := t.cfg.Clock.Now()
	if t.stuck.IsZero() {
		t.stuck = now
	}
	if now.Sub(t.stuck) >= yieldLimit {
		t.stuck = time.Time{}
		t.cfg.Duty.Yield()
	}
}

// command sends each server its statement and returns the reports that came. It
// waits for the servers that are needed, and only briefly for the others.
func (t *task) command(servers []informer.Server, s func(informer.Server) exchanger.Statement, needed func(informer.Server) bool) []*exchanger.Report {
	deadline := t.cfg.Clock.Now().Add(commandTimeout)
	var mu sync.Mutex
	reports := make([]*exchanger.Report, len(servers))
	var need, all sync.WaitGroup
	for i, srv := range servers {
		all.Add(1)
		if needed(srv) {
			need.Add(1)
		}
		go func() {
			defer all.Done()
			r := t.commandOne(srv, s(srv), deadline)
			mu.Lock()
			reports[i] = r
			mu.Unlock()
			if needed(srv) {
				need.Done()
			}
		}()
	}
	need.Wait()
	done := make(chan struct{})
	go func() {
		all.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-t.cfg.Clock.After(oldLimit):
	}
	mu.Lock()
	defer mu.Unlock()
	return slices.Clone(reports)
}

func (t *task) commandOne(srv informer.Server, st exchanger.Statement, deadline time.Time) *exchanger.Report {
	r, err := t.cfg.Fleet.Probe(srv, st, deadline)
	fields := logrus.Fields{"server": srv.ID, "command": commandNames[st.Kind], "term": st.Term}
	if err != nil {
		t.log.WithError(err).WithFields(fields).Info("replacer: command was not confirmed")
		return nil
	}
	fields["role"], fields["received"], fields["paused_for"] = r.Role.String(), r.Received.String(), r.PausedTerm
	t.log.WithFields(fields).Info("replacer: command was confirmed")
	return &r
}

// everyServer makes a command wait for all servers.
func everyServer(informer.Server) bool { return true }

// promote makes the server lead and waits for it. It returns false if the
// server does not lead in time; everything stays fenced then.
func (t *task) promote(id string, term uint64) bool {
	srv, ok := t.cfg.Informer.State().Server(t.service.Name, id)
	if !ok {
		return false
	}
	t.awaitPromises()
	deadline := t.cfg.Clock.Now().Add(effectLimit)
	called := false
	for t.ctx.Err() == nil && t.cfg.Clock.Now().Before(deadline) {
		if !called {
			token, mayAct := t.cfg.Duty.Token()
			if !mayAct {
				t.sleep(effectPause)
				continue
			}
			err := t.cfg.Promoter.Promote(t.ctx, t.service.Name, id, t.cfg.Name, token)
			called = err == nil
			log := t.log.WithFields(logrus.Fields{"server": id, "term": term, "token": token})
			if err != nil {
				log = log.WithError(err)
				t.sleep(callPause)
			}
			log.Info("replacer: platform was asked to promote a server")
		}
		r, err := t.cfg.Fleet.Probe(srv, exchanger.Statement{Kind: exchanger.Status}, t.cfg.Clock.Now().Add(commandTimeout))
		if err == nil && r.Role == exchanger.Primary && r.Term >= term {
			t.finish(attester.Leader{Server: srv, Term: r.Term})
			return true
		}
		t.sleep(effectPause)
	}
	t.log.WithFields(logrus.Fields{"server": id, "term": term}).Warn("replacer: promotion has not taken effect in time")
	return false
}

// finish tells everyone and lifts pauses that the promotion left.
func (t *task) finish(l attester.Leader) {
	t.replaced.Inc(1)
	t.failing, t.leaderless, t.stuck = time.Time{}, time.Time{}, time.Time{}
	t.log.WithFields(logrus.Fields{"server": l.Server.ID, "term": l.Term}).Info("replacer: new primary leads")
	t.announce(l)
	var others []informer.Server
	for _, r := range t.group().Survey() {
		if r.Server.ID != l.Server.ID && r.Report.PausedTerm != 0 && r.Report.PausedTerm <= l.Term {
			others = append(others, r.Server)
		}
	}
	t.command(others, func(informer.Server) exchanger.Statement { return exchanger.Statement{Kind: exchanger.Resume} }, everyServer)
}
