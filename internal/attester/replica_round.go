package attester

import (
	"maps"
	"slices"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// replicaRound asks the replicas of a leader for their status, all at the same time.
type replicaRound struct {
	// answers gets one answer of each server that is asked.
	answers chan replicaAnswer
	// unanswered are the servers that have not answered yet.
	unanswered map[string]bool
	// silent are the servers among them that left their last query unanswered as well. They
	// are not waited for once a replica has confirmed: each round would take probeTimeout
	// as long as one replica is out of reach.
	silent map[string]bool
}

// replicaAnswer is a replica's answer; report is nil if none arrived.
type replicaAnswer struct {
	server informer.Server
	report *exchanger.Report
}

// replicaQueries are the status queries to one replica.
type replicaQueries struct {
	// open is the number of unanswered ones.
	open int
	// isSilent is set while the last one that ended was not answered within probeTimeout.
	isSilent bool
}

// beginRound asks the servers. One that is silent gets one query at a time, unless all
// established replicas are.
func (g *Group) beginRound(established, others []informer.Server) *replicaRound {
	r := &replicaRound{unanswered: map[string]bool{}, silent: map[string]bool{}}
	g.mu.Lock()
	defer g.mu.Unlock()
	mayAsk := func(srv informer.Server) bool {
		q := g.queries[srv.ID]
		return q == nil || !q.isSilent || q.open == 0
	}
	servers := append(slices.Clone(established), others...)
	maps.DeleteFunc(g.queries, func(id string, q *replicaQueries) bool {
		return q.open == 0 && !slices.ContainsFunc(servers, func(srv informer.Server) bool { return srv.ID == id })
	})
	if slices.ContainsFunc(established, mayAsk) {
		servers = slices.DeleteFunc(servers, func(srv informer.Server) bool { return !mayAsk(srv) })
	}
	r.answers = make(chan replicaAnswer, len(servers))
	for _, srv := range servers {
		q := g.queries[srv.ID]
		if q == nil {
			q = &replicaQueries{}
			g.queries[srv.ID] = q
		}
		r.unanswered[srv.ID] = true
		r.silent[srv.ID] = q.isSilent
		q.open++
		go func() { r.answers <- g.queryReplica(srv, q) }()
	}
	return r
}

// queryReplica sends a status query to a replica and records whether it was answered.
func (g *Group) queryReplica(srv informer.Server, q *replicaQueries) replicaAnswer {
	deadline := g.cfg.Clock.Now().Add(probeTimeout)
	a := replicaAnswer{server: srv}
	if report, err := g.cfg.Prober.Probe(srv, exchanger.Statement{Kind: exchanger.Status}, deadline); err == nil {
		a.report = &report
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	q.open--
	q.isSilent = a.report == nil && !g.cfg.Clock.Now().Before(deadline)
	return a
}

// next returns the next answer; false if no other server is waited for.
func (r *replicaRound) next(confirmed bool) (replicaAnswer, bool) {
	mayWait := false
	for id := range r.unanswered {
		mayWait = mayWait || !confirmed || !r.silent[id]
	}
	if !mayWait {
		return replicaAnswer{}, false
	}
	a := <-r.answers
	delete(r.unanswered, a.server.ID)
	return a, true
}
