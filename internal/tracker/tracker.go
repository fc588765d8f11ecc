package tracker

import (
	"errors"
	"slices"
	"sync"
	"time"
)

// Tracker derives the state of one group from observations of its servers.
// It is safe for concurrent use.
//
// Why a confirmation is final: a position (t, p) is confirmed when a majority
// of the group reported, while t was the highest term they had accepted, a log
// of term t that ends at or past p. Only one promoter can fence a majority for
// t and it promotes one server, so all records of term t come from one log. A
// server that accepted a later term rejects replication of t. Every later term
// u starts by fencing a majority, which shares a server with the confirming
// majority; that server reported (t, p) before it accepted u, so its log end
// in the fence's answer is at or past (t, p). The promoted server has the
// highest log end of the fenced ones. If that end is of term t, the log
// contains (t, p) because all records of t come from one log; if it is of a
// term between t and u, the log contains (t, p) by induction over the terms.
// Truncation only removes records that are not in the lineage of the term
// that the server follows, so (t, p) is in every later log.
//
// Why a fresh confirmation excludes later terms: every counted status was
// computed after the request began, and showed t as the highest accepted term.
// A majority fenced for a later term u shares a server with them, so the
// fence of u was not complete when the request began, and nothing was
// confirmed in u before it.
//
// Why an established term decides about earlier ones: the first record of a
// term is confirmed like any other, so the lineage before it is part of every
// later log. A record of an earlier term that is not in that lineage can never
// be in a later established log.
type Tracker struct {
	group Group

	mu      sync.Mutex
	servers []Observation

	term      uint64
	primary   string
	lineage   Lineage
	confirmed Position
	// provenAt is the latest time at which a majority is known to have taken
	// part in the established term.
	provenAt time.Time
	history  history

	waiters   map[*Waiter]struct{}
	waitAdded chan struct{}
	changed   chan struct{}
	closed    chan struct{}
}

// ErrClosed is returned by waits on a tracker that was closed.
var ErrClosed = errors.New("tracker is closed")

// New returns a tracker without observations.
func New(group Group) *Tracker {
	t := &Tracker{
		group:     group,
		waiters:   make(map[*Waiter]struct{}),
		waitAdded: make(chan struct{}),
		changed:   make(chan struct{}),
		closed:    make(chan struct{}),
	}
	for _, s := range group.Servers {
		t.servers = append(t.servers, Observation{Server: s.Name})
	}
	return t
}

// Group returns the group that the tracker was made for.
func (t *Tracker) Group() Group { return t.group }

// Observe takes a status of the named server that was requested at sentAt and
// received at receivedAt. Both times are readings of the same clock. A status
// that was requested before the server's newest one is ignored.
func (t *Tracker) Observe(server string, s Status, sentAt, receivedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.index(server)
	if i < 0 || sentAt.Before(t.servers[i].SentAt) {
		return
	}
	before := t.summarize(i)
	t.servers[i] = t.servers[i].withStatus(s, sentAt, receivedAt)
	t.establish(s.Term)
	t.advanceConfirmed()
	t.advanceProvenAt()
	t.addSample()
	t.answerWaiters()
	t.notify(before, i)
}

// summary is the part of the state whose changes Changed announces.
type summary struct {
	term      uint64
	primary   string
	replaced  bool
	reachable bool
	leaving   bool
}

func (t *Tracker) summarize(i int) summary {
	o := t.servers[i]
	return summary{t.term, t.primary, t.isReplaced(), o.Reachable(), o.Status.Leaving}
}

// notify announces a change of the summary that concerns the server i.
func (t *Tracker) notify(before summary, i int) {
	if t.summarize(i) != before {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// Changed returns a channel that is closed at the next change of the
// established term, its primary or View.Replaced, or of the reachability or
// leaving mark of a server.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// ObserveFailure takes a failed probe of the named server that was sent at
// sentAt. Refused is set if the server refused the connection.
func (t *Tracker) ObserveFailure(server string, sentAt time.Time, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.index(server)
	if i < 0 || sentAt.Before(t.servers[i].SentAt) {
		return
	}
	before := t.summarize(i)
	t.servers[i] = t.servers[i].withFailure(sentAt, refused)
	t.notify(before, i)
}

func (t *Tracker) index(server string) int {
	return slices.IndexFunc(t.servers, func(o Observation) bool { return o.Server == server })
}

// establish makes term the established one if it is higher and its first record
// is confirmed.
func (t *Tracker) establish(term uint64) {
	if term < t.term || term == 0 {
		return
	}
	if term == t.term {
		t.findPrimary()
		return
	}
	for _, o := range t.servers {
		start, ok := lastTermStart(o, term)
		if !ok || t.countStored(Position{term, start + 1}) < t.group.Majority() {
			continue
		}
		t.term, t.primary, t.lineage = term, "", o.Status.Lineage
		t.confirmed = Position{term, start + 1}
		t.history.clip(start)
		t.findPrimary()
		return
	}
}

// lastTermStart returns where the term starts in the server's log, and false if
// the server does not take part in it or its log does not end in it.
func lastTermStart(o Observation, term uint64) (uint64, bool) {
	n := len(o.Status.Lineage)
	if n == 0 || !o.participatesIn(term) || o.Status.Log.Term != term {
		return 0, false
	}
	last := o.Status.Lineage[n-1]
	return last.Start, last.Term == term
}

// findPrimary sets the primary of the established term if a server reported
// that it leads it.
func (t *Tracker) findPrimary() {
	if t.primary != "" {
		return
	}
	for _, o := range t.servers {
		if o.participatesIn(t.term) && o.Status.Role == RolePrimary {
			t.primary = o.Server
		}
	}
}

// isReplaced reports whether a majority has accepted a later term than the
// established one.
func (t *Tracker) isReplaced() bool {
	n := 0
	for _, o := range t.servers {
		if o.Status.Term > t.term {
			n++
		}
	}
	return t.term > 0 && n >= t.group.Majority()
}

// countStored returns the number of servers that store p in p's own term.
func (t *Tracker) countStored(p Position) int {
	n := 0
	for _, o := range t.servers {
		if o.stores(p) {
			n++
		}
	}
	return n
}

// advanceConfirmed raises the confirmed position of the established term to the
// highest log end that a majority stores.
func (t *Tracker) advanceConfirmed() {
	if t.term == 0 {
		return
	}
	var ends []uint64
	for _, o := range t.servers {
		if o.stores(Position{Term: t.term}) {
			ends = append(ends, o.Status.Log.Offset)
		}
	}
	need := t.group.Majority()
	if len(ends) < need {
		return
	}
	slices.Sort(ends)
	t.confirmed.Offset = max(t.confirmed.Offset, ends[len(ends)-need])
}

// advanceProvenAt raises provenAt to the earliest request time among the newest
// statuses of a majority in the established term.
func (t *Tracker) advanceProvenAt() {
	var sent []time.Time
	for _, o := range t.servers {
		if t.term > 0 && o.participatesIn(t.term) {
			sent = append(sent, o.SentAt)
		}
	}
	need := t.group.Majority()
	if len(sent) < need {
		return
	}
	slices.SortFunc(sent, time.Time.Compare)
	if at := sent[len(sent)-need]; at.After(t.provenAt) {
		t.provenAt = at
	}
}

// addSample adds the log end of the primary to the history. The primary's newest
// status may be older than the observation that established the term.
func (t *Tracker) addSample() {
	if t.term == 0 || t.primary == "" {
		return
	}
	o := t.servers[t.index(t.primary)]
	if o.Status.Role == RolePrimary && o.stores(Position{Term: t.term}) {
		t.history.add(o.SentAt, o.Status.Log.Offset)
	}
}

// freshAt returns the time at which everything that o has applied was current,
// and the zero time if it is unknown. It is never later than provenAt, because
// the position of a replaced primary says nothing about later times. The
// primary's position only grows within a term, so a sample also holds for every
// earlier time.
func (t *Tracker) freshAt(o Observation) time.Time {
	if !o.Seen() || !t.lineage.Contains(o.Status.Applied) {
		return time.Time{}
	}
	at := t.history.freshAt(o.Status.Applied.Offset)
	if at.After(t.provenAt) {
		return t.provenAt
	}
	return at
}

// View returns the current view of the group. Seq, Monitor and Draining are not
// set.
func (t *Tracker) View() View {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := View{Group: t.group.Name, Term: t.term, Primary: t.primary, Lineage: t.lineage, Replaced: t.isReplaced()}
	for _, o := range t.servers {
		if o.Server == t.primary {
			continue
		}
		v.Replicas = append(v.Replicas, ReplicaView{
			Server:    o.Server,
			Log:       o.Status.Applied,
			FreshAt:   t.freshAt(o),
			SeenAt:    o.SentAt,
			Reachable: o.Reachable(),
			Leaving:   o.Status.Leaving,
		})
	}
	return v
}

// LacksQuorum reports whether fewer than a majority of the servers are reachable.
func (t *Tracker) LacksQuorum() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, o := range t.servers {
		if o.Reachable() {
			n++
		}
	}
	return n < t.group.Majority()
}
