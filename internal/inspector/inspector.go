package inspector

import (
	"cmp"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/observer"
	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/surveyor"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	// minReportedWait is the shortest wait that is reported. A shorter one is of the
	// order of the delay between zones, for which no read leaves its zone.
	minReportedWait = 3 * time.Millisecond
	// readPriority is the priority for which waits are reported, that of most reads.
	readPriority = 1
	// assumedObjective is the objective of the reads of a service while no route to it is
	// known.
	assumedObjective = 500 * time.Millisecond
	// positionInterval is the age from which a position of a replica that is behind is
	// asked for. Reports and what is known of a server expire after about three of them.
	positionInterval = 200 * time.Millisecond
	// maxPositionAge is how old a reported position may be.
	maxPositionAge = 500 * time.Millisecond
	// positionTimeout limits the query for it. A shorter one would take a busy replica for
	// one that has failed.
	positionTimeout = time.Second
)

// Querier sends servers queries of the instance itself and knows the services' primaries.
type Querier interface {
	// Group returns what is known of the service's primary.
	Group(service string) *attester.Group
	// Ask sends a server a statement of the instance itself.
	Ask(b *connector.Backend, s exchanger.Statement, deadline time.Time) ([]exchanger.Answer, error)
}

// Config holds what an [Inspector] needs.
type Config struct {
	// Scheduled returns the servers whose work this instance schedules.
	Scheduled func(now time.Time) []*connector.Backend
	Querier   Querier
	// Informer provides the configuration with the routes.
	Informer *informer.Informer
	// PositionAt returns the position of a replica that is behind, as its gateway reports
	// it, and when it had it; nil if there are no reports.
	PositionAt func(server string) (tracker.Position, time.Time, bool)
	// Stop is closed when the queries for positions are to end.
	Stop    <-chan struct{}
	Clock   clockwork.Clock
	Metrics metrics.Registry
}

// Inspector knows which replicas are behind and how long requests wait.
type Inspector struct {
	cfg Config
	// positionQueries are status queries to replicas that are behind.
	positionQueries metrics.Counter
	done            chan struct{}
}

// New returns an inspector and starts its queries for positions.
func New(cfg Config) *Inspector {
	i := &Inspector{
		cfg: cfg, done: make(chan struct{}),
		positionQueries: metrics.GetOrRegisterCounter("dispatcher.position_queries", cfg.Metrics),
	}
	go func() {
		defer close(i.done)
		i.followPositions()
	}()
	return i
}

// Done returns a channel that is closed when the queries have ended.
func (i *Inspector) Done() <-chan struct{} { return i.done }

// Waits returns the waits at the busy servers whose work this instance schedules, and
// the positions of those that are replicas and behind.
func (i *Inspector) Waits() []surveyor.Report {
	now := i.cfg.Clock.Now()
	objectives := sync.OnceValue(i.readObjectives)
	var out []surveyor.Report
	for _, b := range i.cfg.Scheduled(now) {
		r := surveyor.Report{Server: b.ID}
		load := b.Load(connector.Request{Priority: readPriority, Due: now})
		if load.Running >= load.Slots {
			// A request that is due now could not be answered in time, and would wait behind
			// all that can.
			objective := cmp.Or(objectives()[b.Target().Service], assumedObjective)
			load = b.Load(connector.Request{Priority: readPriority, Due: now.Add(objective)})
		}
		// Connections are opened when they are needed; only the slots are scarce.
		load.Idle = max(load.Idle, 1)
		if wait := load.Wait(); wait >= minReportedWait {
			r.Wait = wait
		}
		if p, ok := i.ownProgress(b, now); ok && now.Sub(p.At) <= maxPositionAge {
			r.Position, r.PositionAge = p.Position, now.Sub(p.At)
		}
		if r.Wait > 0 || !r.Position.IsZero() {
			out = append(out, r)
		}
	}
	return out
}

// readObjectives returns, for each service, the shortest objective of the reads that any of
// its servers may run. Reads with a longer one wait longer than reported; the gateway of the
// server decides about them when they arrive.
func (i *Inspector) readObjectives() map[string]time.Duration {
	out := map[string]time.Duration{}
	if c := i.cfg.Informer.State().Configuration; c != nil {
		for _, r := range c.Routes {
			if known, ok := out[r.Service]; r.Reads != informer.PrimaryReads && (!ok || r.Objective < known) {
				out[r.Service] = r.Objective
			}
		}
	}
	return out
}

// Progress returns what is known of a replica that is behind: what its gateway reports
// or, if that is newer, what it answered to this instance.
func (i *Inspector) Progress(b *connector.Backend, now time.Time) (placer.Progress, bool) {
	own, isBehind := i.ownProgress(b, now)
	isBehind = isBehind && now.Sub(own.At) <= observer.BehindMemory
	if i.cfg.PositionAt == nil {
		return own, isBehind
	}
	position, at, ok := i.cfg.PositionAt(b.ID)
	if !ok || isBehind && own.At.After(at) {
		return own, isBehind
	}
	passedAt, _ := i.cfg.Querier.Group(b.Target().Service).PassedAt(position)
	return placer.Progress{Position: position, At: at, PassedAt: passedAt}, true
}

// ownProgress returns the progress by the server's own answers if it is a replica that is
// behind.
func (i *Inspector) ownProgress(b *connector.Backend, now time.Time) (placer.Progress, bool) {
	g := i.cfg.Querier.Group(b.Target().Service)
	if l, ok := g.Leader(); ok && l.Server.ID == b.ID {
		b.ForgetLack()
	}
	return b.Progress(now, g.PassedAt)
}

// followPositions asks replicas that lacked a position for their newest one, so that
// reports about them go on while no read is sent to them.
func (i *Inspector) followPositions() {
	for {
		select {
		case <-i.cfg.Clock.After(positionInterval):
		case <-i.cfg.Stop:
			return
		}
		now := i.cfg.Clock.Now()
		for _, b := range i.cfg.Scheduled(now) {
			at, lacks := b.LacksPosition()
			if !lacks || now.Sub(at) < positionInterval {
				continue
			}
			// It forgets what a server lacked that has become the primary or has long been silent.
			if _, isBehind := i.ownProgress(b, now); (isBehind || now.Sub(at) <= observer.LackMemory) && b.BeginPositionQuery() {
				go i.askPosition(b, now.Add(positionTimeout))
			}
		}
	}
}

// askPosition asks the server for its position, one query at a time.
func (i *Inspector) askPosition(b *connector.Backend, deadline time.Time) {
	defer b.EndPositionQuery()
	i.positionQueries.Inc(1)
	status := exchanger.Statement{Kind: exchanger.Status}
	if answers, err := i.cfg.Querier.Ask(b, status, deadline); err == nil {
		b.ObservePosition(i.cfg.Clock.Now(), status, answers[0])
	}
}
