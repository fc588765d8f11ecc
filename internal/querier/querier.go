package querier

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/delegator"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// probePriority puts status queries before callers' requests: they are short,
// and reads wait for what they confirm.
const probePriority = -1

// Backends are the servers that the querier asks.
type Backends interface {
	// Backend returns the listed server with the ID; nil if there is none.
	Backend(id string) *connector.Backend
	// RecordUnlisted records whether a server that is not listed answered.
	RecordUnlisted(id string, answered bool)
}

// Config holds what a [Querier] needs.
type Config struct {
	Backends Backends
	// Informer provides the list of servers.
	Informer *informer.Informer
	// Dialer opens connections to servers.
	Dialer exchanger.Dialer
	// Delegator reaches the servers' gateways.
	Delegator *delegator.Delegator
	// IsCoordinator reports whether this instance is the coordinator, which watches
	// the primaries. It then queries the servers over its own connections.
	IsCoordinator func() bool
	// AskPeers exchanges views with other instances; see [attester.Config].
	AskPeers func()
	Clock    clockwork.Clock
	Metrics  metrics.Registry
	Log      logrus.FieldLogger
}

// Querier asks servers for their status and keeps what is known of the primaries.
type Querier struct {
	cfg    Config
	probes metrics.Counter

	mu     sync.Mutex
	groups map[string]*attester.Group
}

// New returns a querier without groups.
func New(cfg Config) *Querier {
	return &Querier{cfg: cfg, probes: metrics.GetOrRegisterCounter("dispatcher.probes", cfg.Metrics), groups: map[string]*attester.Group{}}
}

// Group returns what is known of the service's primary, including its samples and
// leases. It creates the group at the first call.
func (q *Querier) Group(service string) *attester.Group {
	q.mu.Lock()
	defer q.mu.Unlock()
	g := q.groups[service]
	if g == nil {
		g = attester.NewGroup(attester.Config{
			Service: service, Prober: q, AskPeers: q.cfg.AskPeers, Clock: q.cfg.Clock, Log: q.cfg.Log,
			Servers: func() []informer.Server { return q.cfg.Informer.State().ServersOf(service) },
		})
		q.groups[service] = g
	}
	return g
}

// Probe sends a server a status query or command that this instance itself issues,
// not one of a caller, and returns the server's report. It implements [attester.Prober].
// The server need not be listed: one whose entry is missing may still run.
func (q *Querier) Probe(srv informer.Server, s exchanger.Statement, deadline time.Time) (exchanger.Report, error) {
	q.probes.Inc(1)
	b := q.cfg.Backends.Backend(srv.ID)
	if b == nil {
		return q.probeUnlisted(srv, s, deadline)
	}
	answers, err := q.Ask(b, s, deadline)
	if err != nil {
		return exchanger.Report{}, err
	}
	r, err := reportOf(srv, answers[0])
	if err == nil {
		b.RecordAnswer(q.cfg.Clock.Now())
	}
	return r, err
}

// probeUnlisted is Probe for a server without a pool, on a connection of its own.
func (q *Querier) probeUnlisted(srv informer.Server, s exchanger.Statement, deadline time.Time) (exchanger.Report, error) {
	c, err := q.cfg.Dialer.Dial(srv.Target(), deadline)
	if err != nil {
		var refused *exchanger.RefusedError
		q.cfg.Backends.RecordUnlisted(srv.ID, errors.As(err, &refused))
		return exchanger.Report{}, err
	}
	defer c.Close()
	answers, err := c.Exchange(deadline, s)
	q.cfg.Backends.RecordUnlisted(srv.ID, err == nil)
	if err != nil {
		return exchanger.Report{}, err
	}
	return reportOf(srv, answers[0])
}

// reportOf returns the report that the server's answer contains.
func reportOf(srv informer.Server, a exchanger.Answer) (exchanger.Report, error) {
	if !a.OK() || a.Report == nil {
		return exchanger.Report{}, fmt.Errorf("backend server %s refused to report: %s %s", srv.ID, a.Code, a.Text)
	}
	return *a.Report, nil
}

// Ask sends a server a statement of the instance itself. Commands, and the
// status queries of the coordinator, use a connection of this instance, so that
// they do not depend on another one.
func (q *Querier) Ask(b *connector.Backend, s exchanger.Statement, deadline time.Time) ([]exchanger.Answer, error) {
	r := connector.Request{IsOwn: true, Priority: probePriority, WaitDeadline: deadline, Remaining: deadline.Sub(q.cfg.Clock.Now())}
	hasShare := b.IsGateway() && b.Limit() > 0
	if s.Kind == exchanger.Status && b.UsesGateways() && !hasShare && !q.cfg.IsCoordinator() {
		c := q.cfg.Delegator.NewConn(b, r)
		answers, err := c.RunPlain(deadline, s)
		c.Release(err == nil && answers[0].State == exchanger.Idle)
		return answers, err
	}
	c, err := b.AcquireOutOfSlot(r)
	if err != nil {
		return nil, err
	}
	answers, err := c.RunPlain(deadline, s)
	b.Pool.Release(c, err == nil && answers[0].State == exchanger.Idle)
	if err != nil {
		b.ObserveQueryFailure(q.cfg.Clock.Now())
	}
	return answers, err
}
