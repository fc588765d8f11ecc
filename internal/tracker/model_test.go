package tracker

import (
	"fmt"
	"slices"
	"time"
)

// modelServer is a model of a backend server with the rules of the design page,
// section 3. An entry of log is the term in which the record was written.
type modelServer struct {
	name     string
	role     Role
	term     uint64
	promoter int
	log      []uint64
	follows  *modelServer
}

func (s *modelServer) end() Position {
	if len(s.log) == 0 {
		return Position{}
	}
	return Position{s.log[len(s.log)-1], uint64(len(s.log))}
}

func lineageOf(log []uint64) Lineage {
	var l Lineage
	for i, term := range log {
		if n := len(l); n == 0 || l[n-1].Term != term {
			l = append(l, TermStart{term, uint64(i)})
		}
	}
	return l
}

func (s *modelServer) status() Status {
	return Status{
		Server:   s.name,
		Role:     s.role,
		Term:     s.term,
		Promoter: fmt.Sprint(s.promoter),
		Log:      s.end(),
		Applied:  s.end(),
		Lineage:  lineageOf(s.log),
	}
}

// replicate truncates the records that the followed primary does not have, and
// copies one record.
func (s *modelServer) replicate() {
	p := s.follows
	if s.role != RoleReplica || p == nil || p.role != RolePrimary || p.term != s.term {
		return
	}
	n := 0
	for n < len(s.log) && n < len(p.log) && s.log[n] == p.log[n] {
		n++
	}
	s.log = s.log[:n]
	if n < len(p.log) {
		s.log = append(slices.Clip(s.log), p.log[n])
	}
}

// modelAttempt is one promotion attempt.
type modelAttempt struct {
	id     int
	term   uint64
	fenced map[*modelServer]Position
	leader *modelServer
}

// model runs operations on a group and checks the results of its trackers.
type model struct {
	servers  []*modelServer
	trackers []*Tracker
	attempts []*modelAttempt
	waiters  []*Waiter
	now      time.Time

	// acks holds the time at which each position was first confirmed.
	acks map[Position]time.Time
	// promoted holds the log of each term's primary after its first record.
	promoted map[uint64][]uint64
	// stored holds the servers that ever stored the first record of a term
	// while they took part in it; ackable is when they became a majority.
	stored  map[uint64]map[*modelServer]bool
	ackable map[uint64]time.Time
	fault   string
	fresh   int
}

func newModel(servers, trackers int) *model {
	m := &model{
		now:      time.Unix(1000, 0),
		acks:     make(map[Position]time.Time),
		promoted: make(map[uint64][]uint64),
		stored:   make(map[uint64]map[*modelServer]bool),
		ackable:  make(map[uint64]time.Time),
	}
	group := Group{Name: "g"}
	for i := range servers {
		name := fmt.Sprintf("s%d", i)
		group.Servers = append(group.Servers, Server{Name: name})
		m.servers = append(m.servers, &modelServer{name: name, role: RoleFenced})
	}
	for range trackers {
		m.trackers = append(m.trackers, New(group))
	}
	return m
}

func (m *model) majority() int { return len(m.servers)/2 + 1 }

// step runs the operation that the number encodes.
func (m *model) step(n uint32) {
	m.now = m.now.Add(time.Millisecond)
	op, arg := n%80, int(n/80)
	s := m.servers[arg%len(m.servers)]
	arg /= len(m.servers)
	switch {
	case op < 30:
		m.observe(s, m.lazyTracker(arg))
	case op < 50:
		s.replicate()
	case op < 54:
		if s.role == RolePrimary {
			s.log = append(slices.Clip(s.log), s.term)
		}
	case op == 54:
		m.attempts = append(m.attempts, &modelAttempt{id: len(m.attempts) + 1, term: s.term + 1, fenced: make(map[*modelServer]Position)})
	case op == 55:
		m.runPromotion(arg)
	case op < 61:
		m.fence(s, m.attempt(arg))
	case op < 64:
		m.promote(m.attempt(arg))
	case op < 74:
		m.follow(s, m.attempt(arg))
	default:
		m.watch(s, m.trackers[arg%len(m.trackers)], arg/2)
	}
	m.recordStored()
	m.collect()
}

// lazyTracker returns the last tracker less often than the first, so that its
// observations become old.
func (m *model) lazyTracker(arg int) *Tracker {
	if arg%16 == 0 {
		return m.trackers[len(m.trackers)-1]
	}
	return m.trackers[0]
}

// runPromotion runs a whole promotion of a majority, which random steps rarely do.
func (m *model) runPromotion(arg int) {
	a := &modelAttempt{id: len(m.attempts) + 1, fenced: make(map[*modelServer]Position)}
	var fenced []*modelServer
	for i := range m.majority() {
		s := m.servers[(arg+i)%len(m.servers)]
		a.term = max(a.term, s.term+1)
		fenced = append(fenced, s)
	}
	m.attempts = append(m.attempts, a)
	for _, s := range fenced {
		m.fence(s, a)
	}
	m.promote(a)
	for _, s := range fenced {
		m.follow(s, a)
		if arg%4 == 0 {
			continue
		}
		for range 30 {
			s.replicate()
		}
	}
}

// attempt returns one of the two newest attempts.
func (m *model) attempt(arg int) *modelAttempt {
	if len(m.attempts) == 0 {
		return nil
	}
	return m.attempts[len(m.attempts)-1-arg%min(2, len(m.attempts))]
}

func (m *model) fence(s *modelServer, a *modelAttempt) {
	if a == nil || a.leader != nil || a.fenced[s] != (Position{}) {
		return
	}
	if a.term > s.term {
		s.term, s.promoter, s.role, s.follows = a.term, a.id, RoleFenced, nil
		a.fenced[s] = s.end()
	}
}

func (m *model) promote(a *modelAttempt) {
	if a == nil || a.leader != nil || len(a.fenced) < m.majority() {
		return
	}
	var best *modelServer
	for _, s := range m.servers {
		end, ok := a.fenced[s]
		if ok && (best == nil || end.Compare(a.fenced[best]) > 0) {
			best = s
		}
	}
	if best.term != a.term || best.promoter != a.id {
		return
	}
	a.leader = best
	best.role = RolePrimary
	best.log = append(slices.Clip(best.log), a.term)
	m.promoted[a.term] = best.log
	for p := range m.acks {
		m.checkAck(p)
	}
}

func (m *model) follow(s *modelServer, a *modelAttempt) {
	if a != nil && a.leader != nil && a.leader != s && a.term >= s.term {
		s.term, s.role, s.follows = a.term, RoleReplica, a.leader
	}
}

// observe passes a status to the tracker as if its answer took 1 µs.
func (m *model) observe(s *modelServer, t *Tracker) {
	t.Observe(s.name, s.status(), m.now, m.now.Add(time.Microsecond))
	if st := t.State(); st.Term > 0 {
		m.ack(st.Confirmed)
	}
}

func (m *model) watch(s *modelServer, t *Tracker, arg int) {
	p := s.end()
	if arg%3 == 0 {
		p = Position{}
	}
	m.waiters = append(m.waiters, t.NewWaiter(p, arg%2 == 0, m.now))
}

func (m *model) recordStored() {
	for _, s := range m.servers {
		if s.term == 0 || s.end().Term != s.term || s.role == RoleFenced {
			continue
		}
		if m.stored[s.term] == nil {
			m.stored[s.term] = make(map[*modelServer]bool)
		}
		m.stored[s.term][s] = true
		if _, ok := m.ackable[s.term]; !ok && len(m.stored[s.term]) >= m.majority() {
			m.ackable[s.term] = m.now
		}
	}
}

// collect checks the proofs of the waiters that are done, and removes them.
func (m *model) collect() {
	m.waiters = slices.DeleteFunc(m.waiters, func(w *Waiter) bool {
		select {
		case <-w.Done():
			m.checkProof(w)
			return true
		default:
			return false
		}
	})
}

func (m *model) checkProof(w *Waiter) {
	proof := w.Proof()
	if proof.Superseded {
		if _, ok := m.acks[w.position]; ok && !proof.Lineage.Contains(w.position) {
			m.fail("confirmed position %v is not in established lineage %v", w.position, proof.Lineage)
		}
		m.ack(proof.Position)
		return
	}
	m.ack(proof.Position)
	if !w.fresh {
		return
	}
	m.fresh++
	for p, at := range m.acks {
		if w.readIndex && at.Before(w.since) && p.Compare(proof.Position) > 0 {
			m.fail("read index %v is before %v, which was confirmed before the request", proof.Position, p)
		}
	}
	for term, at := range m.ackable {
		if term > proof.Position.Term && at.Before(w.since) {
			m.fail("fresh confirmation of %v since %v although term %d was established before", proof.Position, w.since, term)
		}
	}
}

func (m *model) ack(p Position) {
	if _, ok := m.acks[p]; !ok {
		m.acks[p] = m.now
		m.checkAck(p)
	}
}

// checkAck checks that all logs of later terms contain the position.
func (m *model) checkAck(p Position) {
	for term, log := range m.promoted {
		if term > p.Term && (uint64(len(log)) < p.Offset || log[p.Offset-1] != p.Term) {
			m.fail("confirmed position %v is not in the log %v of term %d", p, lineageOf(log), term)
		}
	}
}

func (m *model) fail(format string, args ...any) {
	if m.fault == "" {
		m.fault = fmt.Sprintf(format, args...)
	}
}
