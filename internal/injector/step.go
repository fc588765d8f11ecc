package injector

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/deployer"
	"marigoldhub.example/hub/standin/link"
)

// Step is a point at which a fault is injected.
type Step struct {
	Name string
	// Harmless marks a step that brings no fault about by itself.
	Harmless bool
	// Run reaches the point and calls inject there.
	Run func(ctx context.Context, s *Scene, inject func() error) error
}

// Steps returns every step of the matrix.
func Steps() []Step {
	return []Step{
		attach, openTransaction, statementSent, answerUnderway, commitSent, commitUnconfirmed,
		promotionStep("detected"), promotionStep("fenced"), promotionStep("chosen"), promotionStep("promoted"),
		promotionStep("following"), promotionStep("established"),
		manifestProposed, manifestApprovedOnce, manifestAccepted,
	}
}

// attach injects while a connection has sent its startup message and is not
// authenticated.
var attach = Step{Name: "attach", Harmless: true, Run: func(_ context.Context, s *Scene, inject func() error) error {
	conn, err := net.DialTimeout("tcp", s.Probe.Address, time.Second)
	if err != nil {
		return err
	}
	s.later(func() {
		time.Sleep(time.Second)
		_ = conn.Close()
	})
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": deployer.CallerName, "database": s.Group},
	}
	data, err := startup.Encode(nil)
	if err != nil {
		return err
	}
	if _, err := conn.Write(data); err != nil {
		return err
	}
	return inject()
}}

var openTransaction = Step{Name: "open_transaction", Harmless: true, Run: func(ctx context.Context, s *Scene, inject func() error) error {
	caller := s.Caller(probeID)
	if err := caller.EnsureConnected(ctx); err != nil {
		return err
	}
	reached := make(chan struct{})
	goOn := make(chan struct{})
	s.later(func() {
		defer caller.Close()
		_, _ = caller.InsertPair(ctx, "probe-open-transaction", func() {
			close(reached)
			<-goOn
		})
	})
	defer close(goOn)
	select {
	case <-reached:
	case <-time.After(opTimeout):
		return errors.New("the transaction was not opened")
	}
	return inject()
}}

// probeID numbers the probing caller apart from the callers of the load.
const probeID = 1000

// slowLink is the one-way delay between the probe's instance and the servers
// that keeps a statement on its way while a fault is injected.
const slowLink = 150 * time.Millisecond

// slowServers delays the statements of the probe's instance.
func slowServers(s *Scene) error {
	s.isProbeSlow = true
	d := link.Duration(slowLink)
	return s.D.Links.Set(link.Rule{Source: s.Probe.IP, Link: "sql:*", DelayToTarget: &d, DelayToSource: &d})
}

// insertAfter injects the given time after an insert was sent.
func insertAfter(name string, wait time.Duration) Step {
	return Step{Name: name, Harmless: true, Run: func(ctx context.Context, s *Scene, inject func() error) error {
		caller := s.Caller(probeID)
		if err := caller.EnsureConnected(ctx); err != nil {
			return err
		}
		if err := slowServers(s); err != nil {
			return err
		}
		s.later(func() {
			defer caller.Close()
			_, _ = caller.Insert(ctx, "probe-"+name)
		})
		time.Sleep(wait)
		return inject()
	}}
}

var (
	// statementSent injects while the statement is on its way to the server.
	statementSent = insertAfter("statement_sent", slowLink/2)
	// answerUnderway injects while the server's answer is on its way back.
	answerUnderway = insertAfter("answer_underway", slowLink+slowLink/2)
)

// commitSent injects while COMMIT is on its way to the server.
var commitSent = Step{Name: "commit_sent", Harmless: true, Run: func(ctx context.Context, s *Scene, inject func() error) error {
	caller := s.Caller(probeID)
	if err := caller.EnsureConnected(ctx); err != nil {
		return err
	}
	reached := make(chan struct{})
	failed := make(chan error, 1)
	s.later(func() {
		defer caller.Close()
		_, _ = caller.InsertPair(ctx, "probe-commit-sent", func() {
			failed <- slowServers(s)
			close(reached)
		})
	})
	select {
	case <-reached:
	case <-time.After(opTimeout):
		return errors.New("the transaction was not opened")
	}
	// The second insert takes one round trip before COMMIT is sent.
	time.Sleep(2*slowLink + slowLink/2)
	return errors.Join(<-failed, inject())
}}

// commitUnconfirmed injects after the primary committed and before a replica
// has the record.
var commitUnconfirmed = Step{Name: "commit_unconfirmed", Run: func(ctx context.Context, s *Scene, inject func() error) error {
	caller := s.Caller(probeID)
	if err := caller.EnsureConnected(ctx); err != nil {
		return err
	}
	primary, err := s.Primary()
	if err != nil {
		return err
	}
	if err := s.D.Links.Cut("", deployer.ReplicationLink(primary.Name)); err != nil {
		return err
	}
	s.later(func() {
		defer caller.Close()
		_, _ = caller.Insert(ctx, "probe-commit-unconfirmed")
	})
	time.Sleep(50 * time.Millisecond)
	return inject()
}}
