//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// linkDelay is the time of a commit from the primary to a replica.
	linkDelay = 1400 * time.Microsecond
	// workTime is how long a read, write or commit takes.
	workTime = 4 * time.Millisecond
	// yieldTime is how long an old primary that can reach the new one still leads.
	yieldTime = time.Second
)

// position is the end of a log.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) before(o position) bool {
	return p.term < o.term || p.term == o.term && p.number < o.number
}

// entry is one commit; ids are the writes in it.
type entry struct {
	position
	commit string
}

// group is a service: a primary and two replicas. mu guards all its servers.
type group struct {
	w       *world
	service string

	mu      sync.Mutex
	servers []*server
	serial  int
	// acked are the commits whose success a caller has received, with the time.
	acked map[string]time.Time
}

// server is one place of a service. A restart gives it another id at the same address.
type server struct {
	g       *group
	zone    string
	addr    string
	id      string
	l       net.Listener
	born    int64
	seq     int64
	running bool
	primary bool
	// draining is set when the server reports that it leaves.
	draining bool
	term     uint64
	paused   uint64
	log      []entry
	conns    map[*serverConn]bool
	// onPause is called when the server was paused.
	onPause func()
	// cut are the instances that cannot reach the server.
	cut map[string]bool
	// waiting are closed when a replica has received the entry with the index.
	waiting map[int]chan struct{}
	// runs counts the statements of each instance.
	runs map[string]int
}

func newGroup(w *world, service string) (*group, error) {
	g := &group{w: w, service: service, acked: map[string]time.Time{}}
	for i, zone := range []string{"shah-alam", "petaling", "klang"} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		s := &server{
			g: g, zone: zone, addr: address, running: true, primary: i == 0, term: 1, log: []entry{{position{1, 1}, "first"}},
			conns: map[*serverConn]bool{}, cut: map[string]bool{}, waiting: map[int]chan struct{}{}, runs: map[string]int{},
		}
		// The servers have run for an hour when the instances start.
		s.begin(time.Now().Add(-time.Hour))
		g.servers = append(g.servers, s)
		if err := s.listen(); err != nil {
			return nil, err
		}
		go s.beat()
	}
	return g, nil
}

// begin gives the server a new identity.
func (s *server) begin(born time.Time) {
	s.g.serial++
	s.id, s.born, s.seq = fmt.Sprintf("i-%s-%d%s", s.g.service, s.g.serial, s.zone[:1]), born.UnixMilli(), 0
	s.report()
}

// report writes the server's entry. The caller holds mu, or the server is new.
func (s *server) report() {
	s.seq++
	role, state := "replica", "ready"
	if s.primary {
		role = "primary"
	}
	if s.draining {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{
		"service": s.g.service, "addr": s.addr, "zone": s.zone, "version": "1", "slots": 3, "state": state, "cold_left_ms": 0,
		"seq": s.seq, "db_role": role, "born": s.born,
	})
	if err != nil {
		panic(err)
	}
	s.g.w.store.Put("servers/"+s.id, value)
}

// beat renews the entry while the server runs.
func (s *server) beat() {
	for range time.Tick(heartbeat) {
		s.g.mu.Lock()
		if s.running {
			s.report()
		}
		s.g.mu.Unlock()
	}
}

// listen opens the server's port.
func (s *server) listen() error {
	l, err := net.Listen("tcp4", s.addr)
	if err != nil {
		return err
	}
	s.l = l
	go s.accept(l)
	return nil
}

// crash ends the server's process. Its log stays.
func (s *server) crash() {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.g.w.note("server %s of %s crashes", s.id, s.g.service)
	s.running = false
	s.l.Close()
	for c := range s.conns {
		c.conn.Close()
	}
	s.waiting = map[int]chan struct{}{}
	id, born := s.id, s.born
	time.AfterFunc(entryLifetime, func() {
		s.g.mu.Lock()
		defer s.g.mu.Unlock()
		if s.id != id || s.born == born {
			s.g.w.store.Delete("servers/" + id)
		}
	})
}

// restart starts the server again under another id, with its log. It is a replica if it was
// one, or if another server was promoted. A restart ends a pause.
func (s *server) restart() {
	g := s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	s.running, s.paused = true, 0
	if p := g.leader(); s.primary && p != s {
		s.primary = false
	}
	s.open()
	s.begin(time.Now())
	g.w.note("server %s of %s starts at the address of before, primary %v, log to %v", s.id, g.service, s.primary, s.end())
	for _, p := range g.servers {
		if p != s && p.running && p.primary {
			s.receiveLater(p)
		}
	}
}

// drain makes the server report that it leaves. It serves on.
func (s *server) drain() {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.draining = true
	s.report()
	s.g.w.note("server %s of %s reports that it leaves", s.id, s.g.service)
}

// open opens the port after a crash.
func (s *server) open() {
	if err := s.listen(); err != nil {
		s.g.w.note("server %s cannot listen again: %v", s.id, err)
		s.running = false
	}
}

// restartEmpty starts the server again under the id that it had. It then holds and knows
// nothing of before.
func (s *server) restartEmpty() {
	g := s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	s.running, s.primary, s.paused, s.term, s.log = true, false, 0, 0, []entry{{}}
	s.open()
	s.born, s.seq = time.Now().UnixMilli(), 0
	s.report()
	g.w.note("server %s of %s starts under the id of before and holds nothing", s.id, g.service)
	for _, p := range g.servers {
		if p != s && p.running && p.primary {
			s.receiveLater(p)
		}
	}
}

// leader returns the running primary of the highest term; nil if none runs.
func (g *group) leader() *server {
	var best *server
	for _, s := range g.servers {
		if s.running && s.primary && (best == nil || s.term > best.term) {
			best = s
		}
	}
	return best
}

func (s *server) end() position { return s.log[len(s.log)-1].position }

// appendEntry adds a commit to the primary's log and sends it to the replicas. The returned
// channel is closed when a replica has received it.
func (s *server) appendEntry(commit string) (entry, chan struct{}) {
	e := entry{position{s.term, s.end().number + 1}, commit}
	s.log = append(s.log, e)
	received := make(chan struct{})
	s.waiting[len(s.log)-1] = received
	for _, r := range s.g.servers {
		if r != s {
			r.receiveLater(s)
		}
	}
	return e, received
}

// receiveLater lets the replica receive the primary's log after the delay of the link.
func (s *server) receiveLater(p *server) {
	time.AfterFunc(linkDelay, func() {
		s.g.mu.Lock()
		defer s.g.mu.Unlock()
		if !s.running || !p.running || s.primary || !p.primary || s.paused != 0 || s.term > p.term {
			return
		}
		s.term = p.term
		s.log = append(s.log[:0:0], p.log...)
		for i, c := range p.waiting {
			if i < len(s.log) {
				close(c)
				delete(p.waiting, i)
			}
		}
	})
}

// promote makes the server with the id lead the next term after promoteDelay. It returns
// false if the server is not running.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.id != id || !s.running {
			continue
		}
		if g.leader() == s {
			return true
		}
		time.AfterFunc(promoteDelay, func() { g.lead(s, id) })
		return true
	}
	return false
}

// lead makes the server lead the next term with what it has received, and nothing more.
func (g *group) lead(s *server, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.running || s.id != id || g.leader() == s {
		g.w.note("server %s of %s cannot lead any more", id, g.service)
		return
	}
	term := s.term
	for _, o := range g.servers {
		term = max(term, o.term+1, o.paused)
	}
	old := g.leader()
	s.primary, s.term, s.paused = true, term, 0
	s.report()
	g.w.note("server %s of %s leads term %d, log to %v", s.id, g.service, term, s.end())
	g.checkAcked(s)
	for _, r := range g.servers {
		if r == s || !r.running {
			continue
		}
		if r == old {
			time.AfterFunc(yieldTime, func() { g.yield(old, s) })
			continue
		}
		r.paused = 0
		r.receiveLater(s)
	}
}

// yield makes an old primary a replica of the new one.
func (g *group) yield(old, s *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !old.running || !s.running || !old.primary || !s.primary || old.term >= s.term {
		return
	}
	old.stopLeading()
	old.receiveLater(s)
}

// stopLeading makes the primary a replica. Commits that no replica has received stay
// unanswered.
func (s *server) stopLeading() {
	s.primary = false
	s.waiting = map[int]chan struct{}{}
	for c := range s.conns {
		if c.committing {
			c.conn.Close()
		}
	}
	s.report()
}

// checkAcked checks that the server that is promoted has every commit whose success a caller
// has received.
func (g *group) checkAcked(s *server) {
	has := map[string]bool{}
	for _, e := range s.log {
		has[e.commit] = true
	}
	for commit, at := range g.acked {
		if !has[commit] {
			g.w.found("LOST: the success of %s was received at %.4f; it is not in the log of %s, which leads %s now",
				commit, at.Sub(g.w.began).Seconds(), s.id, g.service)
		}
	}
}

// recordAcked records that a caller has received the success of a commit.
func (g *group) recordAcked(commit string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acked[commit] = time.Now()
}

// setCut cuts an instance off the server, or ends the cut.
func (s *server) setCut(n *node, cut bool) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.cut[n.name] = cut
	s.g.w.note("instance %s is cut off server %s of %s: %v", n.name, s.id, s.g.service, cut)
}

func (s *server) isCut(instance string) bool {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.cut[instance]
}

// mainCaller returns the instance that runs the most statements at the server.
func (s *server) mainCaller() string {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	best := ""
	for name, n := range s.runs {
		if best == "" || n > s.runs[best] {
			best = name
		}
	}
	return best
}

func (s *server) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}
