package session

import (
	"bytes"
	"crypto/rand"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"marigoldhub.example/hub/standin/server/executor"
)

// Registry knows the open sessions.
type Registry struct {
	// Statements counts executed statements.
	Statements atomic.Int64

	mu       sync.Mutex
	sessions map[uint32]*Session
	lastPID  uint32
	peak     int
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{sessions: map[uint32]*Session{}} }

// add gives a session its cancel key and reports whether it fits the limit.
func (r *Registry) add(s *Session, limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limit > 0 && len(r.sessions) >= limit {
		return false
	}
	r.lastPID++
	s.pid = r.lastPID
	s.secret = make([]byte, 4)
	rand.Read(s.secret)
	r.sessions[s.pid] = s
	r.peak = max(r.peak, len(r.sessions))
	return true
}

// attach makes a session's executor known to cancel requests.
func (r *Registry) attach(s *Session, exec *executor.Executor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.exec = exec
}

func (r *Registry) remove(s *Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sessions[s.pid] == s {
		delete(r.sessions, s.pid)
	}
}

func (r *Registry) cancel(pid uint32, secret []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.sessions[pid]
	if s != nil && s.exec != nil && bytes.Equal(secret, s.secret) {
		s.exec.Interrupt()
	}
}

// Count returns the open connections and the highest number so far.
func (r *Registry) Count() (now, peak int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sessions), r.peak
}

func (r *Registry) now() int {
	n, _ := r.Count()
	return n
}

// DropAll closes all connections without waiting for the sessions to end.
func (r *Registry) DropAll() {
	r.mu.Lock()
	all := slices.Collect(maps.Values(r.sessions))
	r.mu.Unlock()
	for _, s := range all {
		s.drop()
	}
}
