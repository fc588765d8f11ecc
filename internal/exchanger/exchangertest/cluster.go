package exchangertest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/tracker"
)

// Service is the name of the service that the servers belong to.
const Service = "service"

// Cluster is a group of servers and a dialer of connections to them. Its exported
// methods are safe for concurrent use.
type Cluster struct {
	mu      sync.Mutex
	servers map[string]*server
	order   []string
	// ran lists the reads, executions, commits and single writes that ran, as
	// "server id".
	ran []string
	// PromoteDelay is the time until a promotion takes effect.
	PromoteDelay time.Duration
	promotions   []string
	// acknowledged is the position of the newest acknowledged commit.
	acknowledged tracker.Position
	// ReplicationDelay returns how much later than the first replica another one receives
	// a commit. All receive it at once if the function is nil.
	ReplicationDelay func() time.Duration
	// Reaches reports whether two servers reach each other. All do if the function is nil.
	Reaches func(a, b string) bool
	// OnRun is called for each read, write, execution and commit that runs, with
	// the log of the server right after it. The cluster is locked during the call.
	OnRun func(Run)
	// OnStatement is called before each statement, without the lock.
	OnStatement func(server string, s exchanger.Statement)
	// OnCommit is called for each commit that writes, with its position and the replicas
	// that received it. The cluster is locked during the call.
	OnCommit func(id, server string, p tracker.Position, receivers []string)
	// OnPromoted is called when a promotion takes effect, with the log of the server and
	// a description of all servers right before it. The cluster is locked during the call.
	OnPromoted func(id string, entries []string, servers string)
}

// Run is one execution of a caller's statement.
type Run struct {
	// Server is the ID of the server.
	Server string
	// Connection identifies the connection to the server.
	Connection any
	// User is who the connection was opened for.
	User      string
	Statement exchanger.Statement
	// Entries are the IDs of the commits in the server's log. They must not be
	// changed.
	Entries []string
}

type server struct {
	id             string
	address        string
	entries        []string
	role           exchanger.Role
	term           uint64
	log            tracker.Position
	paused         uint64
	down           bool
	replicationCut bool
	full           bool
	behind         bool
	born           int64
	busy           bool
	failing        bool
	lag            time.Duration
	load           int
	pauseKept      bool
	// promoting is the number of promote calls for the server that have not taken effect.
	promoting int
}

// New returns a cluster whose first server is the primary of term 1. The servers
// started an hour ago, long enough to confirm the primary's term.
func New(ids ...string) *Cluster {
	c := &Cluster{servers: map[string]*server{}, order: slices.Clone(ids)}
	born := time.Now().Add(-time.Hour).UnixMilli()
	for i, id := range ids {
		role := exchanger.Replica
		if i == 0 {
			role = exchanger.Primary
		}
		c.servers[id] = &server{id: id, address: id, role: role, term: 1, log: tracker.Position{Term: 1}, born: born}
	}
	return c
}

// Servers returns the servers' entries as in the configuration of a service.
func (c *Cluster) Servers() []informer.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []informer.Server
	for _, id := range c.order {
		s := c.servers[id]
		out = append(out, informer.Server{
			ID: id, Service: Service, Address: s.address, Zone: "zone-" + id, Slots: 3, Role: s.role, Born: s.born,
			Since: time.Now(),
		})
	}
	return out
}

// change updates a server. It does nothing if the server has ended.
func (c *Cluster) change(id string, update func(s *server)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.servers[id]; s != nil {
		update(s)
	}
}

// SetDown makes a server unreachable, or reachable again.
func (c *Cluster) SetDown(id string, down bool) { c.change(id, func(s *server) { s.down = down }) }

// SetReplicationCut makes a replica receive nothing of the log, or receive again.
func (c *Cluster) SetReplicationCut(id string, cut bool) {
	c.change(id, func(s *server) { s.replicationCut = cut })
}

// SetBehind makes a server answer Behind to every minimum position with an offset
// above 0.
func (c *Cluster) SetBehind(id string, behind bool) {
	c.change(id, func(s *server) { s.behind = behind })
}

// SetLag sets the lag that a server reports.
func (c *Cluster) SetLag(id string, lag time.Duration) {
	c.change(id, func(s *server) { s.lag = lag })
}

// SetLoad makes a server report that this many additional slots are occupied.
func (c *Cluster) SetLoad(id string, load int) { c.change(id, func(s *server) { s.load = load }) }

// Restart makes a replica forget its pause, and its log too if empty is set. It has
// another start then.
func (c *Cluster) Restart(id string, empty bool) {
	c.change(id, func(s *server) {
		s.paused, s.born = 0, time.Now().UnixMilli()
		if empty {
			s.term, s.log, s.entries = 0, tracker.Position{}, nil
		}
	})
}

// RestartEmpty restarts a server under its ID as a replica with an empty log, if no
// acknowledged commit is lost with it (see isCopied). It reports whether it did.
func (c *Cluster) RestartEmpty(id string, leaving map[string]bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	if s == nil || !c.isCopied(s, leaving) {
		return false
	}
	s.role, s.paused, s.born = exchanger.Replica, 0, time.Now().UnixMilli()
	s.term, s.log, s.entries = 0, tracker.Position{}, nil
	return true
}

// Join starts a replica, at an address of its own if the address is empty. It follows the
// primary with the highest term at once.
func (c *Cluster) Join(id, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == "" {
		address = id
	}
	s := &server{id: id, address: address, role: exchanger.Replica, born: time.Now().UnixMilli()}
	if lead := c.newestPrimary(); lead != nil && !lead.down {
		s.term, s.log, s.entries = lead.term, lead.log, lead.entries
	}
	c.servers[id] = s
	c.order = append(c.order, id)
}

// End ends a server and its log if no acknowledged commit is lost with it (see
// isCopied). It returns the server's address, and whether it did.
func (c *Cluster) End(id string, leaving map[string]bool) (address string, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	if s == nil || !c.isCopied(s, leaving) {
		return "", false
	}
	c.remove(id)
	return s.address, true
}

// Remove ends a server and its log.
func (c *Cluster) Remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(id)
}

func (c *Cluster) remove(id string) {
	delete(c.servers, id)
	c.order = slices.DeleteFunc(c.order, func(o string) bool { return o == id })
}

// isCopied reports whether a replica besides the server, none of the leaving ones, has
// every acknowledged commit of the server's log, and the server is not about to be
// promoted: not called for, nor paused with the longest log. The caller holds mu.
func (c *Cluster) isCopied(s *server, leaving map[string]bool) bool {
	need := s.log
	if c.acknowledged.Compare(need) < 0 {
		need = c.acknowledged
	}
	copied, longest := false, true
	for _, o := range c.servers {
		if o == s || o.role != exchanger.Replica {
			continue
		}
		copied = copied || !leaving[o.id] && o.log.Compare(need) >= 0
		longest = longest && o.log.Compare(s.log) <= 0
	}
	return copied && s.promoting == 0 && (s.paused == 0 || !longest)
}

// Holders returns the IDs of the servers whose log has the commit.
func (c *Cluster) Holders(entry string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, id := range c.order {
		if slices.Contains(c.servers[id].entries, entry) {
			out = append(out, id)
		}
	}
	return out
}

// SetPromoteDelay sets PromoteDelay for the next calls.
func (c *Cluster) SetPromoteDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.PromoteDelay = d
}

// Primary returns the ID of the primary with the highest term.
func (c *Cluster) Primary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.newestPrimary(); s != nil {
		return s.id
	}
	return ""
}

// newestPrimary returns the primary with the highest term; nil if there is none. The
// caller holds mu.
func (c *Cluster) newestPrimary() *server {
	var lead *server
	for _, s := range c.servers {
		if s.role == exchanger.Primary && (lead == nil || s.term > lead.term) {
			lead = s
		}
	}
	return lead
}

// SetPauseKept makes a pause of the server outlast a promotion.
func (c *Cluster) SetPauseKept(id string, kept bool) {
	c.change(id, func(s *server) { s.pauseKept = kept })
}

// SetBusy makes a server answer Busy to everything but Status.
func (c *Cluster) SetBusy(id string, busy bool) { c.change(id, func(s *server) { s.busy = busy }) }

// SetFailing makes a server answer Failed to every read, write and execution.
func (c *Cluster) SetFailing(id string, failing bool) {
	c.change(id, func(s *server) { s.failing = failing })
}

// SetBorn sets the start time of a server.
func (c *Cluster) SetBorn(id string, born time.Time) {
	c.change(id, func(s *server) { s.born = born.UnixMilli() })
}

// MakePrimary makes a server the primary of a term without fencing the old one,
// as if another instance had promoted it. If notifyOthers is set, the other
// servers that are up learn the term and become replicas.
func (c *Cluster) MakePrimary(id string, term uint64, notifyOthers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.makePrimary(id, term, notifyOthers)
}

func (c *Cluster) makePrimary(id string, term uint64, notifyOthers bool) {
	for _, s := range c.servers {
		switch {
		case s.id == id:
			s.role, s.term, s.paused = exchanger.Primary, term, 0
		case notifyOthers && !s.down && c.reaches(id, s.id):
			s.role, s.term = exchanger.Replica, term
			if !s.pauseKept {
				s.paused = 0
			}
		}
	}
}

// Promote simulates the platform's promote call. After PromoteDelay the server
// becomes the primary of a term that is higher than its log's and at least as
// high as all terms that the servers know or are paused for. If it is the present primary
// by then, nothing changes.
func (c *Cluster) Promote(_ context.Context, _, id, _ string, _ int64) error {
	c.mu.Lock()
	delay := c.PromoteDelay
	c.promotions = append(c.promotions, id)
	s := c.servers[id]
	if s == nil || s.down {
		c.mu.Unlock()
		return fmt.Errorf("server %s is down", id)
	}
	s.promoting++
	c.mu.Unlock()
	time.AfterFunc(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.promoting--
		next := uint64(0)
		for _, o := range c.servers {
			next = max(next, o.term, o.paused)
		}
		if c.newestPrimary() == s || !slices.Contains(c.order, id) {
			return
		}
		if c.OnPromoted != nil {
			c.OnPromoted(id, s.entries, c.describe())
		}
		c.makePrimary(id, max(next, s.log.Term+1), true)
	})
	return nil
}

// Promotions returns the IDs of the servers that Promote was called for, in order.
func (c *Cluster) Promotions() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.promotions...)
}

// Ran returns the reads, executions, commits and single writes that ran, each as
// "server id".
func (c *Cluster) Ran() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.ran...)
}

// CatchUp makes the reachable servers follow the primary with the highest term, as
// servers do some time after they reach it: an old primary becomes a replica, and
// replicas receive the part of the log that they missed.
func (c *Cluster) CatchUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	lead := c.newestPrimary()
	if lead == nil || lead.down {
		return
	}
	for _, s := range c.servers {
		if s == lead || s.down || !c.reaches(lead.id, s.id) || s.replicationCut || s.paused > lead.term || s.term > lead.term {
			continue
		}
		s.role, s.term = exchanger.Replica, lead.term
		if s.paused == 0 {
			s.log, s.entries = lead.log, lead.entries
		}
	}
}

// Entries returns the IDs of the commits in the log of the primary with the
// highest term.
func (c *Cluster) Entries() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.newestPrimary(); s != nil {
		return s.entries
	}
	return nil
}

// Log returns the end of a server's log.
func (c *Cluster) Log(id string) tracker.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[id].log
}

// SetLog sets the end of a server's log.
func (c *Cluster) SetLog(id string, p tracker.Position) {
	c.change(id, func(s *server) { s.log = p })
}
