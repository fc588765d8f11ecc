package replacer

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// outcome is what a command to a server brought.
type outcome struct {
	server informer.Server
	// unlisted is true if the server is not listed any more, unlistedFor since when.
	unlisted    bool
	unlistedFor time.Duration
	// report is the last one that arrived; nil if the last command was not confirmed, and
	// then err is the reason, if it is known.
	report *exchanger.Report
	err    error
}

// silentDrainingRetention is how long a draining server that is not listed and does not
// answer still counts: a cut between it and this instance may be short. The entry of a
// server that runs and reaches the store is back within 2 s.
const silentDrainingRetention = 3 * time.Second

// hasEnded reports whether a server that is not listed does not run any more: another
// server has answered at its address, or it was draining and nothing listens there or it
// has not answered for long enough. One that has crashed without draining may come back
// with its log.
func (o outcome) hasEnded() bool {
	if !o.unlisted || o.report != nil {
		return false
	}
	var refused *exchanger.RefusedError
	if errors.As(o.err, &refused) {
		return refused.Code == exchanger.WrongServer
	}
	return o.server.Draining && (isRefused(o.err) || o.unlistedFor > silentDrainingRetention)
}

// part returns what a replica counts as in the log line of a choice.
func (o outcome) part() string {
	if o.unlisted {
		return partUnlisted
	}
	return partReplica
}

// commandAll sends commands to all servers that may run, listed or not. The needed ones
// among those that no later entry replaces are waited for. The error says that servers
// may be missing: ones that joined a short time ago are known only by a list that is read
// now.
func (t *task) commandAll(s func(informer.Server) []exchanger.Statement, needed func(informer.Server) bool) ([]outcome, error) {
	t.recordListed()
	refreshed := make(chan error, 1)
	go func() { refreshed <- t.refresh() }()
	outcomes := t.commandNew(nil, s, needed)
	if err := <-refreshed; err != nil {
		return outcomes, fmt.Errorf("servers that have joined are not known: %w", err)
	}
	t.recordListed()
	return t.commandNew(outcomes, s, needed), nil
}

// commandNew sends commands to the servers that are not among the outcomes, and returns
// the outcomes for all servers.
func (t *task) commandNew(done []outcome, s func(informer.Server) []exchanger.Statement, needed func(informer.Server) bool) []outcome {
	listed := t.listed()
	servers := append(slices.Clone(listed), t.unlisted(listed)...)
	present := withoutReplaced(servers)
	outcomes := make([]outcome, len(servers))
	var pending []informer.Server
	for i, srv := range servers {
		j := slices.IndexFunc(done, func(o outcome) bool { return o.server.ID == srv.ID && o.server.Born == srv.Born })
		if j < 0 {
			pending = append(pending, srv)
			continue
		}
		outcomes[i] = done[j]
	}
	answers := t.command(pending, s, func(srv informer.Server) bool { return needed(srv) && slices.Contains(present, srv) })
	for i, srv := range servers {
		if j := slices.Index(pending, srv); j >= 0 {
			outcomes[i] = answers[j]
		}
		outcomes[i].server = srv
		if outcomes[i].unlisted = i >= len(listed); outcomes[i].unlisted {
			outcomes[i].unlistedFor = t.cfg.Clock.Since(t.lastListed[srv.ID].at)
		}
	}
	return outcomes
}

// errIncompleteList means that entries of running servers may be missing from the list.
var errIncompleteList = errors.New("the list may be incomplete")

// refresh reads the list of the servers, unless one was read in this change that has all
// entries of servers that an instance knew under a lease: one that was read after the end
// of all leases. Others prove no commit (see package attester).
func (t *task) refresh() error {
	began := t.cfg.Clock.Now()
	_, mayAct := t.cfg.Election.Token()
	if mayAct && t.refreshed.After(t.leaseEnd()) {
		return nil
	}
	if err := t.cfg.Informer.Refresh(); err != nil {
		return err
	}
	if !t.cfg.Informer.KnowsAllServers() {
		return errIncompleteList
	}
	if mayAct {
		t.refreshed = began
	}
	return nil
}

// identify returns the outcomes for the entries that name the server at their address:
// the one that has reported, as a server refuses connections that name another one, or
// else the one with the latest start. Servers that have ended are left out. Two entries
// have one address when a server has crashed and come back under another id, or when
// another writer has put one there.
func identify(outcomes []outcome) []outcome {
	servers := make([]informer.Server, len(outcomes))
	answered := map[string]bool{}
	for i, o := range outcomes {
		servers[i] = o.server
		answered[o.server.Address] = answered[o.server.Address] || o.report != nil
	}
	present := withoutReplaced(servers)
	var kept []outcome
	for _, o := range outcomes {
		if o.report != nil || !answered[o.server.Address] && slices.Contains(present, o.server) && !o.hasEnded() {
			kept = append(kept, o)
		}
	}
	return kept
}
