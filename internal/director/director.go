package director

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/acquirer"
	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/certifier"
	"marigoldhub.example/hub/internal/charger"
	"marigoldhub.example/hub/internal/concluder"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/retainer"
	"marigoldhub.example/hub/internal/router"
	"marigoldhub.example/hub/internal/runner"
	"marigoldhub.example/hub/internal/terminator"
	"marigoldhub.example/hub/internal/tracker"
)

// RetryBudget limits how many batches are retried inside the proxy.
type RetryBudget interface {
	// CountRequest counts a request that is sent for the first time.
	CountRequest()
	// AllowRetry reports whether one more retry is allowed, and counts it.
	AllowRetry() bool
}

// Counters are the metrics of a director.
type Counters struct {
	// BoundedReads counts reads that accept data of a stated age, ReplicaReads
	// those of them that a replica served.
	BoundedReads, ReplicaReads metrics.Counter
	// ReplicaReadsRejected counts answers of replicas that were not used because
	// the status row did not cover the read.
	ReplicaReadsRejected metrics.Counter
	Retries              metrics.Counter
}

// Config holds the parts of a session that direct its batches.
type Config struct {
	// Group is the name of the database group.
	Group       string
	Router      *router.Router
	Views       tracker.ViewSource
	RetryBudget RetryBudget
	Counters    Counters
	// ReplicaWait is the time for which a read waits for a connection to a
	// replica before another server is tried.
	ReplicaWait time.Duration
	Clock       clockwork.Clock

	Shared    *acquirer.Group
	Acquirer  *acquirer.Acquirer
	Retainer  *retainer.Retainer
	Charger   *charger.Charger
	Certifier *certifier.Certifier
	// Minimum is the session's minimum position. The first bounded read sets it.
	Minimum   *certifier.Minimum
	Output    *responder.Output
	Runner    *runner.Runner
	Concluder *concluder.Concluder
}

// Director directs the batches of one session. It is used by one goroutine.
type Director struct {
	cfg Config
	// flushed is the exchange that awaits Sync, if Retainer knows of one.
	flushed         *runner.Exchange
	previousReplica string // replica that served the last read
}

// New returns a director.
func New(cfg Config) *Director { return &Director{cfg: cfg} }

// maxAttempts is how often one batch is run at most.
const maxAttempts = 4

// Run runs a batch. The failure is the answer in place of the one in the output; an error ends
// the session.
func (d *Director) Run(b *batcher.Batch, p *planner.Plan) (*pgproto3.ErrorResponse, error) {
	d.cfg.RetryBudget.CountRequest()
	switch {
	case d.cfg.Retainer.Conn() != nil:
		return d.onRetained(b, p)
	case p.ReadOnly() && !b.Flushed:
		return d.read(b, p), nil
	}
	return d.onPrimary(b, p), nil
}

// onPrimary runs a batch that starts outside a transaction on the primary.
func (d *Director) onPrimary(b *batcher.Batch, p *planner.Plan) *pgproto3.ErrorResponse {
	class := d.classOf(p)
	w := d.cfg.Acquirer.NewWait()
	for n := 1; ; n++ {
		conn, failure := d.cfg.Acquirer.AcquireAdmitted(w, class, d.cfg.Charger.Confirm)
		if failure != nil {
			d.cfg.Acquirer.EndUse()
			return failure
		}
		v := d.runOnce(d.cfg.Runner.New(conn, b, p))
		if v.Failure == nil {
			return nil
		}
		if !v.MayRetry || n == maxAttempts || w.IsExpired() || !d.cfg.RetryBudget.AllowRetry() {
			return v.Failure
		}
		d.cfg.Counters.Retries.Inc(1)
		// A batch that pins its connection has left it retained.
		d.cfg.Retainer.Discard()
		d.cfg.Acquirer.BeforeRetry()
	}
}

// onRetained runs a batch on the connection that the session retains.
func (d *Director) onRetained(b *batcher.Batch, p *planner.Plan) (*pgproto3.ErrorResponse, error) {
	if !d.cfg.Retainer.Transaction().IsOpen {
		if err := d.checkPinnedServer(); err != nil {
			return nil, err
		}
		if failure := d.cfg.Charger.Confirm(); failure != nil {
			d.cfg.Acquirer.EndUse()
			return failure, nil
		}
	}
	return d.runOnce(d.cfg.Runner.New(d.cfg.Retainer.Conn(), b, p)).Failure, nil
}

// checkPinnedServer ends a session whose pinned connection is not to the
// primary.
func (d *Director) checkPinnedServer() error {
	if failure := d.cfg.Acquirer.BeginUse(d.cfg.Acquirer.NewWait()); failure != nil {
		return terminator.Fatal(failure.Code, failure.Message)
	}
	v, ok := d.cfg.Views.View(d.cfg.Group)
	if ok && v.Primary != "" && v.Primary != d.cfg.Retainer.Conn().Server() {
		return terminator.Fatal(resolver.CodeShutdown, "the primary that held this session's settings was replaced, connect again")
	}
	return nil
}

func (d *Director) classOf(p *planner.Plan) pooler.Class {
	if !p.ReadOnly() {
		return pooler.Write
	}
	if _, bounded := d.cfg.Router.Bounded(d.cfg.Group, p.Tables()); bounded && d.cfg.Router.Policy() != router.AllPrimary {
		return pooler.BoundedRead
	}
	return pooler.StrictRead
}

// runOnce runs a batch once and concludes the exchange.
func (d *Director) runOnce(x *runner.Exchange) concluder.Verdict {
	var f *certifier.Fresh
	if x.Plan.ReturnsData && !x.Plan.MayCommit && !x.Batch.Flushed {
		f = d.cfg.Certifier.StartFresh()
	}
	return d.conclude(x, f, x.Run())
}

// conclude concludes an exchange that has run with the error. After a batch that ended with
// Flush, its connection is retained until Sync. Results that are passed on before Sync are
// provisional: the implicit transaction commits at Sync, and ReadyForQuery is
// withheld until the position of this commit is confirmed.
func (d *Director) conclude(x *runner.Exchange, f *certifier.Fresh, err error) concluder.Verdict {
	if err != nil {
		return d.cfg.Concluder.Lost(x, err)
	}
	if x.Batch.Flushed {
		d.cfg.Retainer.KeepUntilSync(x.Conn)
		d.flushed = x
		x.ApplyStatements()
		x.PartlySent = true
		return concluder.Verdict{}
	}
	v := d.cfg.Concluder.Conclude(x, f)
	if v.Failure == nil {
		x.ApplyStatements()
	}
	return v
}

// Continue runs the next batch of an exchange that awaits Sync.
func (d *Director) Continue(b *batcher.Batch, p *planner.Plan) *pgproto3.ErrorResponse {
	x := d.flushed
	d.flushed = nil
	x.Continue(b, p)
	return d.conclude(x, nil, x.Run()).Failure
}

// Abandon ends an exchange that awaits Sync. Nothing of it is committed, because Sync was not
// sent.
func (d *Director) Abandon() {
	d.flushed = nil
	d.cfg.Retainer.SetLostTransaction(d.cfg.Retainer.Transaction().IsOpen)
	d.cfg.Retainer.Discard()
}
