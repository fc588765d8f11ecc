package sessioner

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/authenticator"
	"marigoldhub.example/hub/internal/budgeter"
	"marigoldhub.example/hub/internal/dispatcher"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/guarder"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/throttler"
)

// Config holds what a [Server] needs.
type Config struct {
	// Listener accepts callers' connections.
	Listener net.Listener
	// OnFull sets the function that the listener calls when no socket is left: it closes a
	// session that may be closed, and reports whether it did. It may be nil.
	OnFull func(closeOne func() bool)
	// NewConn wraps an accepted connection in the codec of the callers' protocol.
	NewConn    func(net.Conn) Conn
	Informer   *informer.Informer
	Dispatcher *dispatcher.Dispatcher
	// Authenticator identifies callers by their keys.
	Authenticator *authenticator.Authenticator
	// Throttler keeps teams within their quotas.
	Throttler *throttler.Throttler
	// MaxSessions limits the number of concurrent sessions.
	MaxSessions int
	// Refusals counts the sessions that are refused or closed because of a limit.
	Refusals *budgeter.Refusals
	Clock    clockwork.Clock
	Metrics  metrics.Registry
	Log      logrus.FieldLogger
}

// Server accepts callers and serves their sessions until it is stopped.
type Server struct {
	Config
	count counters

	mu       sync.Mutex
	sessions map[*session]struct{}
	// unstarted is the number of connections whose session has not started.
	unstarted atomic.Int64
	draining  bool
	stopping  bool
	// expired is set when the time of open transactions has ended.
	expired bool
	wg      sync.WaitGroup
	done    chan struct{}
}

// NewServer returns a server that has started to accept callers.
func NewServer(cfg Config) *Server {
	s := &Server{Config: cfg, count: newCounters(cfg.Metrics), sessions: map[*session]struct{}{}, done: make(chan struct{})}
	if cfg.OnFull != nil {
		cfg.OnFull(s.closeOne)
	}
	go func() {
		defer close(s.done)
		s.accept()
	}()
	go s.followConfiguration()
	return s
}

// Done returns a channel that is closed when no more callers are accepted.
func (s *Server) Done() <-chan struct{} { return s.done }

// acceptPause is the pause after an accept has failed, for example for lack of file
// descriptors.
const acceptPause = 50 * time.Millisecond

func (s *Server) accept() {
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			if s.isStopping() {
				return
			}
			s.Log.WithError(err).Warn("sessioner: cannot accept a caller")
			s.Clock.Sleep(acceptPause)
			continue
		}
		s.startSession(conn)
	}
}

func (s *Server) startSession(conn net.Conn) {
	ss := &session{
		Server: s, conn: s.NewConn(conn),
		values: map[string]string{}, prepared: map[string]exchanger.PreparedKey{},
	}
	now := s.Clock.Now()
	ss.setQuiet(now)
	s.mu.Lock()
	full := !s.stopping && !s.makeRoom(now)
	if !full && !s.stopping {
		s.sessions[ss] = struct{}{}
		s.unstarted.Add(1)
		s.wg.Add(1)
	}
	ended := s.stopping
	s.mu.Unlock()
	if ended {
		// End reads what the caller sends meanwhile: closing with unread bytes would reset the
		// connection, and the caller might not receive the error.
		go func() {
			ss.conn.End(exchanger.TooManyConnections, "the instance is stopping; connect again")
			ss.conn.Close()
		}()
		return
	}
	if full {
		go func() {
			ss.conn.RefuseStart(exchanger.TooManyConnections, "the instance has no room for another session")
			ss.conn.Close()
		}()
		return
	}
	s.count.opened.Inc(1)
	go func() {
		defer s.wg.Done()
		defer s.remove(ss)
		defer guarder.Recover(s.Log, "session")
		ss.serve()
	}()
}

func (s *Server) remove(ss *session) {
	ss.setStarted(s.Clock.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ss)
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// mustEnd reports whether a session in the state ends because the instance is stopping.
func (s *Server) mustEnd(state exchanger.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expired || s.stopping && state == exchanger.Idle
}

// Drain closes idle sessions, spread over the duration so that their callers do not
// all connect to the other instances at once. Sessions with an open transaction
// close at its end. New callers are still accepted.
func (s *Server) Drain(over time.Duration) {
	s.mu.Lock()
	open := make([]*session, 0, len(s.sessions))
	for ss := range s.sessions {
		open = append(open, ss)
	}
	s.draining = true
	s.mu.Unlock()
	for i, ss := range open {
		ss.conn.Interrupt()
		if i+1 < len(open) {
			s.Clock.Sleep(over / time.Duration(len(open)))
		}
	}
}

// Stop refuses new callers and ends sessions: idle ones at once, and those with an open
// transaction, which is rolled back, after the time for transactions. It waits for running
// statements until the timeout. Then it closes the listener: connections that the process has
// not accepted are reset by that. It reports whether all sessions have ended; it does not cut
// off the others.
func (s *Server) Stop(transactions, timeout time.Duration) bool {
	defer s.Listener.Close()
	expiry, end := s.Clock.After(transactions), s.Clock.After(timeout)
	s.interruptAll(&s.stopping)
	ended := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(ended)
	}()
	for {
		select {
		case <-ended:
			return true
		case <-expiry:
			s.interruptAll(&s.expired)
		case <-end:
			return false
		}
	}
}

// interruptAll sets the flag and makes all sessions look at it.
func (s *Server) interruptAll(flag *bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*flag = true
	for ss := range s.sessions {
		ss.conn.Interrupt()
	}
}

// counters count sessions and answers.
type counters struct {
	opened   metrics.Counter
	answers  [int(exchanger.Unrecognized) + 1]metrics.Counter
	duration metrics.Histogram
}

// durationSamples bounds the memory of the duration histogram.
const durationSamples = 512

func newCounters(r metrics.Registry) counters {
	c := counters{
		opened:   metrics.GetOrRegisterCounter("sessioner.opened", r),
		duration: metrics.GetOrRegisterHistogram("sessioner.statement_us", r, metrics.NewExpDecaySample(durationSamples, 0.015)),
	}
	for code := range c.answers {
		c.answers[code] = metrics.GetOrRegisterCounter("sessioner.answers."+exchanger.Code(code).String(), r)
	}
	return c
}

// record counts an answer and logs it if it was late or no success. A refusal is
// logged where it is decided, together with its cause.
func (s *session) record(st exchanger.Statement, a exchanger.Answer, began time.Time) {
	took := s.Clock.Since(began)
	s.count.answers[a.Code].Inc(1)
	s.count.duration.Update(took.Microseconds())
	late := s.route.Objective > 0 && took > s.route.Objective
	if a.Code == exchanger.Busy || a.OK() && !late {
		return
	}
	s.Log.WithFields(logrus.Fields{
		"request": st.ID, "database": s.database, "service": s.route.Service, "code": a.Code.String(), "text": a.Text,
		"took": took.String(), "objective": s.route.Objective.String(),
	}).Info("sessioner: statement failed or was late")
}
