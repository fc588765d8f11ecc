package sessioner

import (
	"errors"
	"time"

	"marigoldhub.example/hub/internal/authenticator"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/throttler"
)

// errTeamChanged means that the caller's key was given to another team while a transaction
// was open on a server connection of the former one.
var errTeamChanged = errors.New("the key belongs to another team now; the transaction is rolled back")

// authenticate checks that the caller may run a statement that was received at the time.
func (s *session) authenticate(received time.Time) error {
	route := s.route
	// A route that is public no more needs a key from the next statement on, also inside a
	// transaction, which otherwise keeps its route.
	if present, ok := s.Informer.State().Route(s.database); ok {
		route.Public = route.Public && present.Public
	}
	id, err := s.Authenticator.Check(s.identity, route, received)
	if err != nil {
		return err
	}
	if team := s.identity.Team; id.Team != team {
		s.setIdentity(id)
		if s.tx != nil {
			return errTeamChanged
		}
	}
	return nil
}

// admit takes an operation that was received at the time from the quota of the caller's
// team.
func (s *session) admit(received time.Time) (throttler.Operation, error) {
	return s.Throttler.AdmitPriority(s.identity.Team, s.route.Priority, received.Add(s.route.Objective))
}

// reachesServer reports whether a server runs a statement of the kind inside a transaction. A
// transaction begins at its server with the first of them, which may be the commit.
func reachesServer(k exchanger.Kind) bool {
	return k == exchanger.Read || k == exchanger.Write || k == exchanger.Execute || k == exchanger.Commit
}

// admitTransaction takes the open transaction from the quota of the caller's team before the
// first statement that reaches a server. Later statements need nothing.
func (s *session) admitTransaction(received time.Time) error {
	if s.isAdmitted {
		return nil
	}
	operation, err := s.admit(received)
	if err != nil {
		return err
	}
	s.operation, s.isAdmitted = operation, true
	return nil
}

// refuseInTransaction answers a statement of an open transaction that may not run. The
// transaction is rolled back, so that nothing of it is kept. A caller that ends its
// transaction gets no failed one.
func (s *session) refuseInTransaction(st exchanger.Statement, err error) exchanger.Answer {
	code, text := refusalOf(err)
	s.abandonTransaction()
	switch st.Kind {
	case exchanger.Rollback:
		return exchanger.Acknowledgement(exchanger.Idle)
	case exchanger.Commit:
		return exchanger.ErrorAnswer(code, exchanger.Idle, text)
	}
	return exchanger.ErrorAnswer(code, exchanger.FailedTransaction, text)
}

// refusalOf returns what a caller is told whose operation or session is refused.
func refusalOf(err error) (code exchanger.Code, text string) {
	switch {
	case errors.Is(err, authenticator.ErrDenied):
		return exchanger.Denied, err.Error()
	case errors.Is(err, errTeamChanged):
		return exchanger.Aborted, err.Error()
	}
	return exchanger.Busy, err.Error()
}

// settle gives an operation back to its team's quota if the answer says that no server has
// run any of it. An aborted one may have run.
func settle(o throttler.Operation, a exchanger.Answer) {
	if a.Code.IsNotExecuted() && a.Code != exchanger.Aborted {
		o.Refund()
		return
	}
	o.Done()
}
