package surveyor

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/tracker"
)

const (
	// retention is how long a report counts. It covers the loss of one lease request
	// on each of the two hops between a gateway and an instance.
	retention = 600 * time.Millisecond
	// maxReports bounds the reports that are kept and the size of messages.
	maxReports = 512
)

// Report says how long a request waits at a server, and which position it has if it is
// a replica that is behind.
type Report struct {
	// Server is the server's id.
	Server string
	// Wait is the expected wait of a new request before it runs.
	Wait time.Duration
	// Age is the time since the gateway determined Wait.
	Age time.Duration
	// Position is the end of the replica's log; zero if it is not behind.
	Position tracker.Position
	// PositionAge is the time since the answer that contained Position.
	PositionAge time.Duration
}

// observation is a report with the times at which its parts were determined.
type observation struct {
	wait       time.Duration
	at         time.Time
	position   tracker.Position
	positionAt time.Time
}

// Surveyor holds the newest report about each server that is busy or behind.
type Surveyor struct {
	clock clockwork.Clock

	mu       sync.Mutex
	byServer map[string]observation
}

// New returns a surveyor without reports.
func New(clock clockwork.Clock) *Surveyor {
	return &Surveyor{clock: clock, byServer: map[string]observation{}}
}

// Learn merges reports. Reports that are too old, or older than the known one about
// the same server, are ignored.
func (s *Surveyor) Learn(reports []Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, r := range reports {
		at := now.Add(-max(r.Age, 0))
		known, ok := s.byServer[r.Server]
		if now.Sub(at) > retention || ok && !at.After(known.at) || !ok && len(s.byServer) >= maxReports {
			continue
		}
		s.byServer[r.Server] = observation{wait: r.Wait, at: at, position: r.Position, positionAt: now.Add(-max(r.PositionAge, 0))}
	}
}

// WaitAt returns the reported wait at the server; 0 without a recent report.
func (s *Surveyor) WaitAt(server string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.byServer[server]
	if !ok || s.clock.Since(o.at) > retention {
		return 0
	}
	return o.wait
}

// PositionAt returns the reported position of a replica that is behind, and when it had
// it; false without a recent report.
func (s *Surveyor) PositionAt(server string) (tracker.Position, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.byServer[server]
	now := s.clock.Now()
	if now.Sub(o.at) > retention || !o.hasPosition(now) {
		return tracker.Position{}, time.Time{}, false
	}
	return o.position, o.positionAt, true
}

// hasPosition reports whether the observation has a position that is recent enough.
func (o observation) hasPosition(now time.Time) bool {
	return !o.position.IsZero() && now.Sub(o.positionAt) <= retention
}

// Reports returns the recent reports in order of the servers' ids.
func (s *Surveyor) Reports() []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var out []Report
	for server, o := range s.byServer {
		age := now.Sub(o.at)
		if age > retention {
			delete(s.byServer, server)
			continue
		}
		r := Report{Server: server, Wait: o.wait, Age: age}
		if o.hasPosition(now) {
			r.Position, r.PositionAge = o.position, now.Sub(o.positionAt)
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Server, b.Server) })
	return out
}
