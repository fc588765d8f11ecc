package replacer

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/storer"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	// repeatInterval is the least time between two equal log lines of one change, whose
	// attempts are more frequent.
	repeatInterval = time.Second
	// maxRepeatKeys limits the lines that are remembered to find equal ones.
	maxRepeatKeys = 256
	// maxLoggedServers limits the servers in one log line.
	maxLoggedServers = 16
	// durationSamples and sampleAlpha are the size and the decay of the sample of
	// durations.
	durationSamples, sampleAlpha = 1028, 0.015
)

// changeMetrics count the changes of primary of all services.
type changeMetrics struct {
	begun, completed, givenUp, choicesRefused, cutOff metrics.Counter
	duration                                          metrics.Histogram
}

func newChangeMetrics(r metrics.Registry) changeMetrics {
	return changeMetrics{
		begun:          metrics.GetOrRegisterCounter("replacer.changes_begun", r),
		completed:      metrics.GetOrRegisterCounter("replacer.changes_completed", r),
		givenUp:        metrics.GetOrRegisterCounter("replacer.changes_given_up", r),
		cutOff:         metrics.GetOrRegisterCounter("replacer.cut_off", r),
		choicesRefused: metrics.GetOrRegisterCounter("replacer.choices_refused", r),
		duration:       metrics.GetOrRegisterHistogram("replacer.change_us", r, metrics.NewExpDecaySample(durationSamples, sampleAlpha)),
	}
}

// change is what the log lines of one change of primary tell of it. A switchover that
// becomes a failover is one change.
type change struct {
	log    logrus.FieldLogger
	kind   string
	reason string
	began  time.Time
	// choices and calls count the choices and the calls to the platform, asked is the
	// server of the last call.
	choices, calls      int
	asked               string
	firstCall, lastCall time.Time
	leasesWaited        time.Duration
	// leader is the new primary, known since the time, and how it was found; zero while
	// there is none.
	leader attester.Leader
	result string
	known  time.Time

	mu sync.Mutex
	// logged is when a line was last logged, by what tells it from others.
	logged map[string]time.Time
}

// isRepeat reports whether an equal line was logged less than repeatInterval ago. It
// records the line otherwise. It is false for lines outside a change.
func (c *change) isRepeat(now time.Time, line string) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if last, ok := c.logged[line]; ok && now.Sub(last) < repeatInterval {
		return true
	}
	if len(c.logged) >= maxRepeatKeys {
		clear(c.logged)
	}
	c.logged[line] = now
	return false
}

// trackChange gives all lines until the returned function is called a common key, unless
// they are part of a change already.
func (t *task) trackChange(kind, reason string) (end func()) {
	if t.change != nil {
		return func() {}
	}
	token, _ := t.cfg.Election.Token()
	if token != t.changesToken {
		t.changesToken, t.changes = token, 0
	}
	t.changes++
	t.change = &change{
		log:  t.log.WithField("change", fmt.Sprintf("%s/%d/%03d", t.service.Name, token, t.changes)),
		kind: kind, reason: reason, began: t.cfg.Clock.Now(), logged: map[string]time.Time{},
	}
	t.metrics.begun.Inc(1)
	return t.endTracking
}

// endTracking logs the result of the change.
func (t *task) endTracking() {
	c := t.change
	t.change = nil
	fields := logrus.Fields{"kind": c.kind, "reason": c.reason, "choices": c.choices, "calls": c.calls, "leases_waited": c.leasesWaited.String()}
	if c.result == "" {
		t.metrics.givenUp.Inc(1)
		fields["result"], fields["took"] = "given up", t.cfg.Clock.Since(c.began).String()
	} else {
		t.metrics.completed.Inc(1)
		took := c.known.Sub(c.began)
		t.metrics.duration.Update(took.Microseconds())
		fields["result"], fields["took"], fields["server"], fields["term"] = c.result, took.String(), c.leader.Server.ID, c.leader.Term
	}
	c.log.WithFields(fields).Info("replacer: change of primary has ended")
}

// recordLeader records the new primary of the change. Result tells how it was found.
func (t *task) recordLeader(l attester.Leader, result string) {
	if c := t.change; c != nil && c.result == "" {
		c.leader, c.result, c.known = l, result, t.cfg.Clock.Now()
	}
}

// recordCall counts a call to the platform and returns its number within the change.
func (t *task) recordCall(id string) int {
	c := t.change
	if c == nil {
		return 0
	}
	c.calls++
	c.asked, c.lastCall = id, t.cfg.Clock.Now()
	if c.calls == 1 {
		c.firstCall = c.lastCall
	}
	return c.calls
}

// callFields tell which call to the platform may have taken effect.
func (t *task) callFields() logrus.Fields {
	c := t.change
	if c == nil || c.calls == 0 {
		return nil
	}
	return logrus.Fields{
		"asked": c.asked, "call": c.calls,
		"since_first_call": t.cfg.Clock.Since(c.firstCall).String(), "since_last_call": t.cfg.Clock.Since(c.lastCall).String(),
	}
}

// recordLeaseWait logs that the change had to wait for primary leases.
func (t *task) recordLeaseWait(d time.Duration) {
	if t.change != nil {
		t.change.leasesWaited += d
	}
	t.logger().WithField("waited", d.String()).Info("replacer: primary leases have ended")
}

// logger returns the logger for lines of the present change, or of the service if there
// is none.
func (t *task) logger() logrus.FieldLogger {
	if t.change != nil {
		return t.change.log
	}
	return t.log
}

// candidate is a server in the log line of a choice.
type candidate struct {
	ID string `json:"id"`
	// Part is what the server counts as in the choice.
	Part   string `json:"part"`
	Fenced bool   `json:"fenced"`
	// Role, KnowsTerm, Received and PausedFor are of the server's report; empty if none
	// arrived.
	Role      string `json:"role,omitempty"`
	KnowsTerm uint64 `json:"knows_term,omitempty"`
	Received  string `json:"received,omitempty"`
	PausedFor uint64 `json:"paused_for,omitempty"`
	Draining  bool   `json:"draining,omitempty"`
	Born      int64  `json:"born,omitempty"`
	// KnownFor is how long this instance has known this incarnation, MissingFor how long
	// the store has lacked its entry, UnlistedFor how long ago it was last recorded as
	// listed.
	KnownFor    string `json:"known_for,omitempty"`
	MissingFor  string `json:"missing_for,omitempty"`
	UnlistedFor string `json:"unlisted_for,omitempty"`
}

// Parts of servers in a choice.
const (
	partOldPrimary = "old_primary"
	partReplica    = "replica"
	// partNext is the next primary of a switchover.
	partNext = "next"
	// partUnlisted is a replica that is not listed but may acknowledge commits.
	partUnlisted = "unlisted"
	// partEnded is a server that is not listed and does not run any more.
	partEnded = "ended"
	// partLeftOut is one whose address another entry has.
	partLeftOut = "left_out"
)

func (t *task) newCandidate(o outcome, part string) candidate {
	now, srv := t.cfg.Clock.Now(), o.server
	c := candidate{ID: srv.ID, Part: part, Draining: srv.Draining, Born: srv.Born, KnownFor: formatAge(now, srv.Since), MissingFor: formatAge(now, srv.MissingSince)}
	if o.unlisted {
		c.UnlistedFor = formatAge(now, t.lastListed[srv.ID].at)
	}
	if r := o.report; r != nil {
		c.Role, c.KnowsTerm, c.Received, c.PausedFor = r.Role.String(), r.Term, r.Received.String(), r.PausedTerm
	}
	return c
}

// formatAge returns the time since then; empty if then is zero.
func formatAge(now, then time.Time) string {
	if then.IsZero() {
		return ""
	}
	return now.Sub(then).Round(time.Millisecond).String()
}

// addLeftOut adds the servers that were commanded and do not count in the choice.
func (c *choice) addLeftOut(t *task, outcomes []outcome) {
	for _, o := range outcomes {
		isCounted := slices.ContainsFunc(c.candidates, func(x candidate) bool { return x.ID == o.server.ID })
		switch {
		case isCounted:
		case o.hasEnded():
			c.candidates = append(c.candidates, t.newCandidate(o, partEnded))
		default:
			c.candidates = append(c.candidates, t.newCandidate(o, partLeftOut))
		}
	}
}

// choice is a choice of the next primary and its inputs.
type choice struct {
	term uint64
	// list is the last list of the servers when they were fenced.
	list informer.List
	// acknowledged is the least position that the next primary's log must reach: one that
	// is known to have been acknowledged, or the primary's after the last departure of a
	// server. If wholeLog is true, the departure was after the primary was last read.
	acknowledged tracker.Position
	wholeLog     bool
	// asked and hinted are those of the fence.
	asked, hinted string
	// needed is where the log of the next primary must end at least.
	needed     tracker.Position
	candidates []candidate
	server     string
	err        error
}

// logChoice logs a choice and its inputs.
func (t *task) logChoice(c choice) {
	if t.change != nil {
		t.change.choices++
	}
	if c.err != nil {
		t.metrics.choicesRefused.Inc(1)
		if t.change.isRepeat(t.cfg.Clock.Now(), c.fingerprint()) {
			return
		}
	}
	log := t.logger().WithFields(logrus.Fields{
		"term": c.term, "revision": storer.FormatRevision(c.list.Revision), "list_age": formatAge(t.cfg.Clock.Now(), c.list.Adopted),
		"acknowledged": c.acknowledged.String(), "whole_log": c.wholeLog, "needed": c.needed.String(), "asked": c.asked, "hinted": c.hinted,
		"listed_for": formatAge(t.cfg.Clock.Now(), t.refreshed),
		"members":    len(c.candidates), "servers": c.candidates[:min(len(c.candidates), maxLoggedServers)],
	})
	if t.change != nil {
		log = log.WithFields(logrus.Fields{"kind": t.change.kind, "choice": t.change.choices, "leases_waited": t.change.leasesWaited.String()})
	}
	if c.err != nil {
		log.WithError(c.err).Warn("replacer: no server may lead yet")
		return
	}
	log.WithField("server", c.server).Info("replacer: next primary is chosen")
}

// fingerprint is equal for choices that differ only in the ages of what they are made of.
func (c choice) fingerprint() string {
	var b strings.Builder
	fmt.Fprintln(&b, c.err, c.term, c.acknowledged, c.needed)
	for _, s := range c.candidates {
		s.KnownFor, s.MissingFor, s.UnlistedFor = "", "", ""
		fmt.Fprintln(&b, s)
	}
	return b.String()
}
