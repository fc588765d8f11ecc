package relayer

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/tracker"
)

// proof is a fresh confirmation that runs in parallel with a strict read. It
// asks for the current primary's own position, because the position of the
// read is not known yet.
type proof struct {
	done chan struct{}
	res  confirmer.Result
	err  error
}

func (s *Session) beginProof() *proof {
	p := &proof{done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.res, p.err = s.confirm(tracker.Position{}, true)
	}()
	return p
}

func (s *Session) confirm(pos tracker.Position, fresh bool) (confirmer.Result, error) {
	return s.confirmWithin(s.r.cfg.ConfirmWait, pos, fresh)
}

// confirmWithin is confirm with a limit. It notes whether the group confirms
// anything at present.
func (s *Session) confirmWithin(limit time.Duration, pos tracker.Position, fresh bool) (confirmer.Result, error) {
	ctx, cancel := contextWithTimeout(limit)
	defer cancel()
	late := time.AfterFunc(suspectAfter, func() { s.group.suspect.Store(true) })
	res, err := s.r.parts.Confirmer.Confirm(ctx, confirmer.Request{Group: s.name, Position: pos, Fresh: fresh})
	late.Stop()
	s.group.suspect.Store(err != nil)
	return res, err
}

// suspectAfter is the wait for a confirmation after which new work is no
// longer sent to the primary unchecked. It is above the time that a promotion
// normally takes.
const suspectAfter = time.Second

// checkConfirms refuses new work while the group confirms nothing, for example
// because both replicas are dead: a commit could only end as unknown. The
// first request that finds the group suspect asks for a confirmation.
func (s *Session) checkConfirms() *pgproto3.ErrorResponse {
	if !s.group.suspect.Load() {
		return nil
	}
	if _, err := s.confirmWithin(s.r.cfg.PrimaryWait, tracker.Position{}, true); err != nil {
		return resolver.NotRunError("no majority of database group " + s.name + " confirms writes")
	}
	return nil
}

// confirmRead confirms the position of a strict read. The parallel proof shows
// that no later term was established when it began, which was after the read
// was received. What it covers needs nothing more; a position past it needs a
// confirmation without freshness.
func (s *Session) confirmRead(p *proof, pos tracker.Position) (confirmer.Result, error) {
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

// takeFloor sets the floor of a session that has none to the position of the
// current primary.
func (s *Session) takeFloor() {
	if s.floorSet {
		return
	}
	ctx, cancel := contextWithTimeout(floorWait)
	defer cancel()
	res, err := s.r.parts.Confirmer.Confirm(ctx, confirmer.Request{Group: s.name, Fresh: true})
	if err == nil && res.Outcome == confirmer.Confirmed {
		s.setFloor(res.Position)
	}
}

// raiseFloor raises the floor to the position of an own confirmed commit. It
// lies past everything that was acknowledged before the commit began, so that
// it also serves as the first floor.
func (s *Session) raiseFloor(p tracker.Position) {
	if p.Compare(s.floor) > 0 || !s.floorSet {
		s.setFloor(p)
	}
}

func (s *Session) setFloor(p tracker.Position) {
	s.floor, s.floorSet, s.floorAt = p, true, s.r.clock.Now()
}

// sendToken reports a token that carries the position of the commit.
func (s *Session) sendToken(p tracker.Position) {
	token := s.r.parts.Tokener.Sign(s.caller.Name, s.name, p)
	if token != "" {
		s.send(&pgproto3.ParameterStatus{Name: TokenParameter, Value: token})
	}
}

// floorWait bounds the confirmation that gives a session its first floor; the
// read goes to the primary without it.
const floorWait = time.Second

// TokenParameter names the session token, as a startup parameter and in
// ParameterStatus.
const TokenParameter = "marigold.session_token"
