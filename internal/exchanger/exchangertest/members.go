package exchangertest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
)

// AddServer adds a replica that starts now and receives commits at once. It has the log
// of the server logOf or, if that is empty, of the primary with the highest term.
func (c *Cluster) AddServer(id, logOf string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	added := &server{id: id, address: id, role: exchanger.Replica, born: time.Now().UnixMilli()}
	from := c.servers[logOf]
	if from == nil {
		from = c.newestPrimary()
	}
	if from != nil && (logOf != "" || !from.down) {
		added.term, added.log, added.entries = from.term, from.log, from.entries
	}
	c.servers[id], c.order = added, append(slices.Clip(c.order), id)
}

// RemoveServer ends a server for good.
func (c *Cluster) RemoveServer(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order = slices.DeleteFunc(slices.Clone(c.order), func(o string) bool { return o == id })
	// Connections to the server find it down.
	c.servers[id].down, c.servers[id].role = true, exchanger.Replica
}

func (c *Cluster) reaches(a, b string) bool { return c.Reaches == nil || c.Reaches(a, b) }

// receives reports whether the server receives commits of the primary of the term.
func (c *Cluster) receives(s *server, primary string, term uint64) bool {
	return s.role == exchanger.Replica && !s.down && !s.replicationCut && s.paused == 0 && s.term == term && c.reaches(s.id, primary)
}

// receiveLater makes a replica receive the primary's present log after a delay if it
// still receives then. The caller holds mu.
func (c *Cluster) receiveLater(r, primary *server) {
	term, log, entries := primary.term, primary.log, primary.entries
	time.AfterFunc(c.ReplicationDelay(), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.receives(r, primary.id, term) && r.log.Compare(log) < 0 {
			r.log, r.entries = log, entries
		}
	})
}

// Describe returns the state of each server, for traces of tests.
func (c *Cluster) Describe() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.describe()
}

// describe returns the state of each server. The caller holds mu.
func (c *Cluster) describe() string {
	var out []string
	for _, id := range c.order {
		s := c.servers[id]
		text := fmt.Sprintf("%s: %s of term %d, log %s, paused for %d", id, s.role, s.term, s.log, s.paused)
		if s.down {
			text += ", down"
		}
		out = append(out, text)
	}
	return strings.Join(out, "; ")
}
