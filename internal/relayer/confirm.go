package relayer

import (
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/guarder"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/tracker"
)

// freshConfirmation is a fresh confirmation that runs in parallel with a strict
// read. It confirms the current primary's own position, because the position of
// the read is not known yet.
type freshConfirmation struct {
	done chan struct{}
	res  confirmer.Result
	err  error
}

// errConfirmationEnded is the outcome of a confirmation that ended by a panic.
var errConfirmationEnded = errors.New("the confirmation ended unexpectedly")

func (s *Session) startFreshConfirmation() *freshConfirmation {
	p := &freshConfirmation{done: make(chan struct{})}
	go func() {
		defer close(p.done)
		defer guarder.Recover(s.r.log, "confirmation of a read")
		p.err = errConfirmationEnded
		p.res, p.err = s.confirm(tracker.Position{}, true)
	}()
	return p
}

func (s *Session) confirm(pos tracker.Position, fresh bool) (confirmer.Result, error) {
	return s.confirmWithin(s.r.cfg.ConfirmWait, pos, fresh)
}

// confirmWithin is confirm with a time limit. It records in
// confirmationsSuspect whether the group confirms anything at present.
func (s *Session) confirmWithin(limit time.Duration, pos tracker.Position, fresh bool) (confirmer.Result, error) {
	ctx, cancel := detachedContext(limit)
	defer cancel()
	late := time.AfterFunc(suspectDelay, func() { s.group.confirmationsSuspect.Store(true) })
	res, err := s.r.deps.Confirmer.Confirm(ctx, confirmer.Request{Group: s.groupName, Position: pos, Fresh: fresh})
	late.Stop()
	s.group.confirmationsSuspect.Store(err != nil)
	return res, err
}

// suspectDelay is the time after which an unanswered confirmation makes the
// group suspect, so that new work is checked before it is sent to the primary.
// It is longer than a promotion normally takes.
const suspectDelay = time.Second

// checkConfirmations refuses new work while the group confirms nothing, for
// example because both replicas are down: the outcome of a commit would remain
// unknown. While the group is suspect, each request asks for a confirmation
// first.
func (s *Session) checkConfirmations() *pgproto3.ErrorResponse {
	if !s.group.confirmationsSuspect.Load() {
		return nil
	}
	if _, err := s.confirmWithin(s.r.cfg.PrimaryWait, tracker.Position{}, true); err != nil {
		return resolver.NotRunError("no majority of database group " + s.groupName + " confirms writes")
	}
	return nil
}

// confirmRead confirms the position of a strict read. The fresh confirmation
// shows that no later term was established when it began, which was after the
// read was received. If it covers the position, nothing more is needed; a later
// position of the same term needs a confirmation that is not fresh.
func (s *Session) confirmRead(p *freshConfirmation, pos tracker.Position) (confirmer.Result, error) {
	<-p.done
	if p.err != nil {
		return p.res, p.err
	}
	if p.res.Outcome != confirmer.Confirmed || p.res.Position.Term != pos.Term {
		return s.confirm(pos, true)
	}
	if p.res.Position.Offset >= pos.Offset {
		return p.res, nil
	}
	return s.confirm(pos, false)
}

// initMinPosition sets the minimum position of a session that has none to the
// position of the current primary.
func (s *Session) initMinPosition() {
	if s.minPositionSet {
		return
	}
	ctx, cancel := detachedContext(minPositionTimeout)
	defer cancel()
	res, err := s.r.deps.Confirmer.Confirm(ctx, confirmer.Request{Group: s.groupName, Fresh: true})
	if err == nil && res.Outcome == confirmer.Confirmed {
		s.setMinPosition(res.Position)
	}
}

// raiseMinPosition raises the minimum position to that of the session's own
// confirmed commit. Everything that was acknowledged before the commit began
// has a lower position, so a session without a minimum position can start with
// this one.
func (s *Session) raiseMinPosition(p tracker.Position) {
	if p.Compare(s.minPosition) > 0 || !s.minPositionSet {
		s.setMinPosition(p)
	}
}

func (s *Session) setMinPosition(p tracker.Position) {
	s.minPosition, s.minPositionSet, s.minPositionAt = p, true, s.r.clock.Now()
}

// sendToken sends the caller a session token with the position of its commit.
func (s *Session) sendToken(p tracker.Position) {
	token := s.r.deps.Tokener.Sign(s.caller.Name, s.groupName, p)
	if token != "" {
		s.out.Send(&pgproto3.ParameterStatus{Name: TokenParameter, Value: token})
	}
}

// minPositionTimeout bounds the confirmation that gives a session its first
// minimum position. Without one the read goes to the primary.
const minPositionTimeout = time.Second

// TokenParameter names the session token, as a startup parameter and in
// ParameterStatus.
const TokenParameter = "marigold.session_token"
