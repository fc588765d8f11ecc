package replacer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/storer"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	// commandTimeout limits one command to a server.
	commandTimeout = 500 * time.Millisecond
	// oldPrimaryTimeout is how long the old primary may take to step down once all
	// replicas are paused. It is short because the old primary has usually failed.
	oldPrimaryTimeout = 30 * time.Millisecond
	// peersTimeout is how long other instances may take to tell which commits they
	// saw acknowledged. It covers two trips between zones; instances that are cut
	// off do not answer.
	peersTimeout = 60 * time.Millisecond
	// fenceRetryInterval separates two attempts to fence while servers are missing.
	fenceRetryInterval = 150 * time.Millisecond
	// completeRetryInterval separates two lists while the list of servers may be
	// incomplete, which takes some seconds.
	completeRetryInterval = 500 * time.Millisecond
	// yieldAfter is how long a failover waits for servers that this instance cannot
	// reach before it leaves the coordinator role to another, which may reach them. A
	// crashed primary comes back within some seconds.
	yieldAfter = 4 * time.Second
	// promotionTimeout is how long a promotion may take; the platform's take 300 to
	// 600 ms.
	promotionTimeout = 3 * time.Second
	// pollInterval separates two checks whether a promotion has taken effect or a log
	// has reached a position.
	pollInterval = 30 * time.Millisecond
	// pollTimeout limits one such check, so that a promotion is also noticed when this
	// instance cannot reach the server and others tell of it.
	pollTimeout = 200 * time.Millisecond
	// promoteRetryInterval is the pause after a failed call to the platform.
	promoteRetryInterval = 100 * time.Millisecond
)

// failover changes the primary after a failure. It tries until a server leads or
// this instance is no longer the coordinator. Asked is the server that the platform was
// last asked to promote, if any.
func (t *task) failover(old attester.Leader, reason, asked string) {
	defer t.trackChange("failover", reason)()
	t.logger().WithFields(logrus.Fields{"server": old.Server.ID, "term": old.Term, "reason": reason}).Warn("replacer: primary must be replaced")
	t.beginChange()
	defer t.endChange()
	defer func() { t.unreachableSince, t.leaderlessSince, t.blockedSince = time.Time{}, time.Time{}, time.Time{} }()
	// The first attempt uses the known term: a survey would wait for the server that
	// has failed. In a tenure in which the servers may still show a change of the last
	// coordinator, it is made nevertheless.
	var reports []attester.ServerReport
	hinted := ""
	lastToken := int64(0)
	for first := true; t.ctx.Err() == nil && t.cfg.Election.IsCoordinator(); first = false {
		// Another coordinator may have acted between two tenures of this instance.
		token, _ := t.cfg.Election.Token()
		first, lastToken = first || token != lastToken, token
		isSettled := t.isTenureSettled()
		if !first || old.Server.ID == "" || !isSettled {
			reports = t.group().Survey()
		}
		if first && !isSettled {
			// Later reports show the pauses of this change.
			hinted = unfinishedSwitchover(reports)
			if t.recordTenure(); isChangeUnfinished(reports) {
				t.recordEarlierCall(hinted)
			}
		}
		if t.hasLaterLeader(old, reports) {
			return
		}
		if !t.cfg.Informer.KnowsAllServers() {
			// A server that is not listed yet would not be fenced.
			t.logIncompleteList()
			t.sleep(completeRetryInterval)
			if err := t.cfg.Informer.Refresh(); err != nil {
				t.logger().WithError(err).Info("replacer: the servers were not listed")
			}
			continue
		}
		f := t.newFence(old, reports)
		f.asked, f.hinted = asked, hinted
		await := t.startExchange()
		next, isCurrent, err := t.chooseAfterLeases(
			func() (nominee, error) { return t.fenceAndChoose(f, await) },
			func() (nominee, error) { return t.fenceAndChoose(f, func() {}) },
		)
		if err == nil && t.mayAnotherLead(next.id) {
			t.logger().WithFields(logrus.Fields{"server": next.id}).WithFields(t.callFields()).Info("replacer: an earlier call for another server may still take effect")
			t.sleep(fenceRetryInterval)
			continue
		}
		if err == nil {
			asked = next.id
			if t.promote(next, f.term, token, isCurrent, func() (nominee, error) { return t.fenceAndChoose(f.withAsked(next.id), func() {}) }) {
				return
			}
		}
		t.sleep(fenceRetryInterval)
	}
}

// chooseAfterLeases makes a choice, and makes it again if a primary lease of this instance
// held when it began: commits are acknowledged under leases, and a fence may be lost
// before they end. IsCurrent is false if leases of an earlier coordinator may have held.
func (t *task) chooseAfterLeases(choose, again func() (nominee, error)) (next nominee, isCurrent bool, err error) {
	began := t.cfg.Clock.Now()
	_, isCurrent = t.cfg.Election.Token()
	next, err = choose()
	if err != nil || !t.awaitLeases(began) {
		return next, isCurrent, err
	}
	_, isCurrent = t.cfg.Election.Token()
	next, err = again()
	return next, isCurrent, err
}

// logIncompleteList logs that no choice is made because servers may be missing from the
// list.
func (t *task) logIncompleteList() {
	const line = "replacer: no server may lead yet: the list of servers may be incomplete"
	now := t.cfg.Clock.Now()
	t.metrics.choicesRefused.Inc(1)
	if t.change.isRepeat(now, line) {
		return
	}
	list := t.cfg.Informer.List()
	t.logger().WithFields(logrus.Fields{
		"listed": len(t.listed()), "revision": storer.FormatRevision(list.Revision), "list_age": formatAge(now, list.Adopted),
	}).Info(line)
}

// hasLaterLeader reports whether a server leads a later term than the replaced
// primary: an earlier promotion took effect, or another primary is back. This
// instance may know it only from others, when it cannot reach that server.
func (t *task) hasLaterLeader(old attester.Leader, reports []attester.ServerReport) bool {
	newest := max(t.group().Term(), old.Term)
	for _, r := range reports {
		newest = max(newest, r.Report.Term)
	}
	if l, ok := attester.NewestLeader(reports); ok && l.Term >= newest && (l.Server.ID != old.Server.ID || l.Term != old.Term) {
		t.forgetPendingCall(l.Server.ID)
		t.recordLeader(l, "found")
		t.announce(l)
		return true
	}
	l, ok := t.group().Leader()
	if ok && l.Term > old.Term {
		t.forgetPendingCall(l.Server.ID)
		t.recordLeader(l, "found")
		return true
	}
	return false
}

// announce adopts the leader and tells all other instances of it.
func (t *task) announce(l attester.Leader) {
	t.group().Learn(l, "replacer")
	if n := t.cfg.Peers.Broadcast(t.ctx); n > 0 {
		t.logger().WithField("unreached", n).Info("replacer: some instances were not told of the new primary")
	}
}

// yieldIfBlocked leaves the coordinator role to another instance when a failover
// has waited too long for servers. Choosing without them could lose acknowledged
// commits.
func (t *task) yieldIfBlocked() {
	now := t.cfg.Clock.Now()
	if t.blockedSince.IsZero() {
		t.blockedSince = now
	}
	if now.Sub(t.blockedSince) >= yieldAfter {
		t.blockedSince = time.Time{}
		t.cfg.Election.Yield()
	}
}

// command sends each server its statements. It waits up to commandTimeout for the needed
// servers, and then up to oldPrimaryTimeout for the others.
func (t *task) command(servers []informer.Server, s func(informer.Server) []exchanger.Statement, needed func(informer.Server) bool) []outcome {
	deadline := t.cfg.Clock.Now().Add(commandTimeout)
	// Commands to servers that are not needed may end after the change.
	ch, log := t.change, t.logger()
	var mu sync.Mutex
	outcomes := make([]outcome, len(servers))
	var need, all sync.WaitGroup
	for i, srv := range servers {
		outcomes[i].server = srv
		all.Add(1)
		if needed(srv) {
			need.Add(1)
		}
		go func() {
			defer all.Done()
			o := outcome{server: srv}
			for _, st := range s(srv) {
				if o.report, o.err = t.commandOne(ch, log, srv, st, deadline); o.err != nil {
					break
				}
			}
			mu.Lock()
			outcomes[i] = o
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
	case <-t.cfg.Clock.After(oldPrimaryTimeout):
	}
	mu.Lock()
	defer mu.Unlock()
	return slices.Clone(outcomes)
}

// commandOne sends the server a statement. It logs the result unless an equal one was
// logged shortly before in the change.
func (t *task) commandOne(ch *change, log logrus.FieldLogger, srv informer.Server, st exchanger.Statement, deadline time.Time) (*exchanger.Report, error) {
	r, err := t.cfg.Backends.Probe(srv, st, deadline)
	fields := logrus.Fields{"server": srv.ID, "command": commandNames[st.Kind], "term": st.Term}
	if err != nil {
		if !ch.isRepeat(t.cfg.Clock.Now(), fmt.Sprint(fields)) {
			log.WithError(err).WithFields(fields).Info("replacer: command was not confirmed")
		}
		return nil, err
	}
	fields["role"], fields["knows_term"], fields["received"], fields["paused_for"] = r.Role.String(), r.Term, r.Received.String(), r.PausedTerm
	if !ch.isRepeat(t.cfg.Clock.Now(), fmt.Sprint(fields)) {
		log.WithFields(fields).Info("replacer: command was confirmed")
	}
	return &r, nil
}

// everyServerRuns returns the same statement for all servers.
func everyServerRuns(s exchanger.Statement) func(informer.Server) []exchanger.Statement {
	return func(informer.Server) []exchanger.Statement { return []exchanger.Statement{s} }
}

// everyServer makes a command wait for all servers.
func everyServer(informer.Server) bool { return true }

// promote makes the server the primary and waits until it leads. It returns false
// if that takes too long, if another server should lead, or if the tenure ends before the
// platform has accepted a call; all servers stay fenced then.
// Before a call that does not follow the choice at once, or if the choice is not current,
// chooseAgain tells which server may lead now: one that restarted since may have lost its
// pause or its log. Right before each call the server must report that it has the log
// still: the choice may have waited for other servers since its report.
func (t *task) promote(next nominee, term uint64, tenure int64, isCurrent bool, chooseAgain func() (nominee, error)) bool {
	id := next.id
	srv, ok := t.cfg.Informer.State().Server(t.service.Name, id)
	if !ok {
		return false
	}
	deadline := t.cfg.Clock.Now().Add(promotionTimeout)
	called, chosenNow := false, isCurrent
	for t.ctx.Err() == nil && t.cfg.Clock.Now().Before(deadline) {
		if !called {
			token, mayAct := t.cfg.Election.Token()
			if token != tenure {
				t.logger().WithFields(logrus.Fields{"server": id, "token": token, "chosen_with": tenure}).Info("replacer: the tenure of the choice has ended")
				return false
			}
			if !mayAct {
				chosenNow = false
				t.sleep(pollInterval)
				continue
			}
			if !chosenNow {
				now, err := chooseAgain()
				if err != nil || now.id != id {
					t.logger().WithFields(logrus.Fields{"server": id, "now": now.id, "error": err}).Warn("replacer: the chosen server may not lead any more")
					return false
				}
				next = now
			}
			// The server may have begun to lead by an earlier call, which the poll shows.
			if chosenNow = t.hasLog(srv, next.needed) && t.mayActAs(token); chosenNow {
				if called = t.askPlatform(id, term, token); !called {
					chosenNow = false
					t.sleep(promoteRetryInterval)
				}
			}
		}
		r, err := t.cfg.Backends.Probe(srv, exchanger.Statement{Kind: exchanger.Status}, t.cfg.Clock.Now().Add(pollTimeout))
		if err == nil && r.Role == exchanger.Primary && r.Term >= term {
			t.completePromotion(attester.Leader{Server: srv, Term: r.Term})
			return true
		}
		// Other instances may reach the server when this one does not.
		if l, ok := t.group().Leader(); ok && l.Term >= term {
			t.completePromotion(l)
			return true
		}
		t.sleep(pollInterval)
	}
	t.logger().WithFields(logrus.Fields{"server": id, "term": term}).WithFields(t.callFields()).Warn("replacer: promotion has not taken effect in time")
	return false
}

// hasLog reports whether a server reports that it does not lead and that its log reaches
// the position.
func (t *task) hasLog(srv informer.Server, needed tracker.Position) bool {
	r, err := t.cfg.Backends.Probe(srv, exchanger.Statement{Kind: exchanger.Status}, t.cfg.Clock.Now().Add(commandTimeout))
	if err == nil && isReplica(r) && r.Received.Compare(needed) >= 0 {
		return true
	}
	t.logger().WithFields(logrus.Fields{
		"server": srv.ID, "needed": needed.String(), "role": r.Role.String(), "received": r.Received.String(), "error": err,
	}).Warn("replacer: the chosen server no longer reports the log")
	return false
}

// mayActAs reports whether this instance may act as the coordinator of the tenure.
func (t *task) mayActAs(token int64) bool {
	now, mayAct := t.cfg.Election.Token()
	return mayAct && now == token
}

// askPlatform asks the platform to promote the server, and logs the call. It reports
// whether the call was accepted.
func (t *task) askPlatform(id string, term uint64, token int64) bool {
	log := t.logger().WithFields(logrus.Fields{"server": id, "term": term, "token": token, "call": t.recordCall(id)})
	log.Info("replacer: platform is being asked to promote a server")
	began := t.cfg.Clock.Now()
	err := t.callPromote(id, token)
	t.recordPendingCall(id, err)
	log = log.WithField("took", t.cfg.Clock.Since(began).String())
	if err != nil {
		log = log.WithError(err)
	}
	log.Info("replacer: platform was asked to promote a server")
	return err == nil
}

// callPromote asks the platform to promote the server. The call is given up when the
// tenure ends: a later coordinator may call soon after.
func (t *task) callPromote(id string, token int64) error {
	ctx, cancel := context.WithCancel(t.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if !t.mayActAs(token) {
				cancel()
				return
			}
			select {
			case <-t.cfg.Clock.After(pollInterval):
			case <-ctx.Done():
			}
		}
	}()
	err := t.cfg.Promoter.Promote(ctx, t.service.Name, id, t.cfg.Name, token)
	cancel()
	<-done
	return err
}

// completePromotion announces the new primary and ends the pauses for terms up to
// its own.
func (t *task) completePromotion(l attester.Leader) {
	t.forgetPendingCall(l.Server.ID)
	t.replaced.Inc(1)
	t.unreachableSince, t.leaderlessSince, t.blockedSince = time.Time{}, time.Time{}, time.Time{}
	t.recordLeader(l, "promoted")
	t.logger().WithFields(logrus.Fields{"server": l.Server.ID, "term": l.Term}).WithFields(t.callFields()).Info("replacer: new primary leads")
	t.announce(l)
	token, _ := t.cfg.Election.Token()
	t.resume(l, token, append(t.group().Survey(), t.surveyUnlisted()...))
}

// resume ends the pauses for terms up to the leader's that the reports show. It does
// nothing if the tenure in which the reports were requested has ended: a replica may have
// been paused since for the change of a later coordinator, and RESUME ends any pause. The
// next tenure resumes what is left (see isSettled).
func (t *task) resume(l attester.Leader, token int64, reports []attester.ServerReport) {
	var paused []informer.Server
	for _, r := range reports {
		if r.Server.ID != l.Server.ID && r.Report.PausedTerm != 0 && r.Report.PausedTerm <= l.Term {
			paused = append(paused, r.Server)
		}
	}
	if len(paused) == 0 || !t.mayActAs(token) {
		return
	}
	t.command(paused, everyServerRuns(exchanger.Statement{Kind: exchanger.Resume}), everyServer)
}
