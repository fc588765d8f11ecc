package relayer

import (
	"context"

	"marigoldhub.example/hub/internal/acquirer"
	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/certifier"
	"marigoldhub.example/hub/internal/charger"
	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/concluder"
	"marigoldhub.example/hub/internal/director"
	"marigoldhub.example/hub/internal/replier"
	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/retainer"
	"marigoldhub.example/hub/internal/rewriter"
	"marigoldhub.example/hub/internal/runner"
	"marigoldhub.example/hub/internal/terminator"
	"marigoldhub.example/hub/internal/translator"
)

// NewSession returns a session that [Session.Run] serves. It fails if the token
// is not valid or there are too many settings.
func (r *Relayer) NewSession(a AuthenticatedConn) (*Session, error) {
	g := r.group(a.Group)
	s := &Session{
		terminator: terminator.New(), r: r, conn: a.Conn, in: a.Inbound, caller: a.Caller, groupName: a.Group, group: g.Group, certifier: g.certifier,
		parser: translator.Parser{Classifier: r.deps.Classifier, Keys: rewriter.Keys(a.Caller.Name)},
	}
	var err error
	if s.startupStatements, err = rewriter.StartupStatements(a.Settings); err != nil {
		return nil, err
	}
	if a.Token != "" {
		p, err := r.deps.Tokener.Verify(a.Caller.Name, a.Group, a.Token)
		if err != nil {
			return nil, err
		}
		s.minimum = certifier.Minimum{Position: p, IsSet: true}
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.buildParts(a)
	a.Backend.SetMaxBodyLen(r.cfg.MessageLimit)
	s.in.Start(r.cfg.MessageLimit)
	s.stmts.Keep = s.in.Keep
	return s, nil
}

// buildParts builds the parts of the session, each from those that it uses.
func (s *Session) buildParts(a AuthenticatedConn) {
	r := s.r
	s.reader = batcher.New(batcher.Config{
		Backend: a.Backend, Inbound: a.Inbound, Limit: r.cfg.BatchLimit, Terminator: s.terminator, OnDisconnect: s.handleDisconnect, Log: r.log,
	})
	s.out = responder.New(responder.Config{
		Conn: a.Conn, Inbound: a.Inbound, WriteWait: r.cfg.WriteWait, HoldsServer: s.holdsServerConn, IsStarved: s.group.IsStarved, Log: r.log,
	})
	s.acquirer = acquirer.New(acquirer.Config{
		Group: a.Group, Caller: a.Caller.Name, Shared: s.group, Views: r.deps.Views, Pool: r.deps.Acquirer, Check: s.certifier.Check,
		Clock: r.clock, PrimaryWait: r.cfg.PrimaryWait, DrainWait: r.cfg.DrainWait,
		Conn: a.Conn, Disconnected: s.reader.Disconnected(), Context: s.ctx, Waits: r.counts.waitedForPrimary, Log: r.log,
	})
	s.retainer = retainer.New(retainer.Config{Pins: &r.pins, Caller: a.Caller.Name, Limit: a.Caller.PinnedLimit, EndUse: s.acquirer.EndUse})
	s.quota = charger.New(charger.Config{Quotas: r.deps.Quotas, Team: teamOf(a.Caller), Wait: r.cfg.PrimaryWait, Clock: r.clock, Refused: r.counts.overQuota})
	s.replier = replier.New(replier.Config{Output: s.out, Retainer: s.retainer, Statements: &s.stmts, Parser: s.parser, Outcome: s.requestOutcome})
	s.runner = runner.New(runner.Config{
		Group: a.Group, Caller: a.Caller.Name, Output: s.out, Acquirer: s.acquirer, Retainer: s.retainer, Charger: s.quota, Certifier: s.certifier,
		Views: r.deps.Views, Statements: &s.stmts, Parser: s.parser, Disconnected: s.reader.Disconnected(),
		ResponseBufferLimit: r.cfg.ResponseBufferLimit, BatchLimit: r.cfg.BatchLimit, Clock: r.clock, Log: r.log,
	})
	s.concluder = concluder.New(concluder.Config{
		Group: a.Group, Caller: a.Caller.Name, Output: s.out, Acquirer: s.acquirer, Retainer: s.retainer, Certifier: s.certifier,
		Minimum: &s.minimum, Keys: s.parser.Keys, Tokener: r.deps.Tokener, Clock: r.clock, Commits: r.counts.commits,
	})
	s.director = director.New(director.Config{
		Group: a.Group, Router: r.router, Views: r.deps.Views, RetryBudget: r.deps.RetryBudget, Counters: r.counts.Counters, ReplicaWait: r.cfg.ReplicaWait, Clock: r.clock,
		Shared: s.group, Acquirer: s.acquirer, Retainer: s.retainer, Charger: s.quota, Certifier: s.certifier, Minimum: &s.minimum, Output: s.out,
		Runner: s.runner, Concluder: s.concluder,
	})
}

// teamOf returns the caller's team, empty if it has none.
func teamOf(c checker.Caller) string {
	if team, ok := checker.TeamOfUser(c.Name); ok {
		return team
	}
	return ""
}
