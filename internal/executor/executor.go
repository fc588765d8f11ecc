package executor

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/appraiser"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
)

// Config holds what an [Executor] needs.
type Config struct {
	// Backend returns the listed server with the ID; nil if there is none.
	Backend func(id string) *connector.Backend
	// AcceptsNewWork reports whether a server may get new work through a gateway.
	AcceptsNewWork func(b *connector.Backend, now time.Time) bool
	// LeaveGateways makes this instance avoid itself as a gateway.
	LeaveGateways func()
	// IdleInTransaction returns how long a transaction may be idle by the configuration; 0
	// if it sets no limit.
	IdleInTransaction func() time.Duration
	// Appraiser learns how the servers answered.
	Appraiser *appraiser.Appraiser
	Clock     clockwork.Clock
	Metrics   metrics.Registry
	Log       logrus.FieldLogger
}

// Executor runs other instances' statements on connections of this instance. It implements
// [forwarder.Runner].
type Executor struct {
	cfg Config
	// forwarded and refused are the statements of other instances that ran, and that did not.
	forwarded, refused metrics.Counter
	// pinned are the transactions that other instances have open here.
	pinned     pinnedConns
	isStopping atomic.Bool
}

// New returns an executor without open transactions.
func New(cfg Config) *Executor {
	return &Executor{
		cfg: cfg, forwarded: metrics.GetOrRegisterCounter("dispatcher.forwarded", cfg.Metrics),
		refused: metrics.GetOrRegisterCounter("dispatcher.forwards_refused", cfg.Metrics),
	}
}

// ExpireTransactions rolls back transactions that were idle too long because their
// instance has gone.
func (e *Executor) ExpireTransactions() {
	configured := e.cfg.IdleInTransaction()
	limit := func(b *connector.Backend) time.Duration { return pinnedIdleLimit(configured, b.IsShortOfConns()) }
	for _, p := range e.pinned.expired(e.cfg.Clock.Now(), limit) {
		e.cfg.Log.WithField("server", p.backend.ID).Info("dispatcher: transaction of another instance rested too long and is rolled back")
		go e.rollBack(p)
	}
}

// rollbackTimeout limits the rollback of a transaction; closing the connection rolls it back
// as well.
const rollbackTimeout = time.Second

// rollBack rolls the transaction back and releases its connection.
func (e *Executor) rollBack(p *pinnedConn) {
	answers, err := p.conn.RunPlain(e.cfg.Clock.Now().Add(rollbackTimeout), exchanger.Statement{Kind: exchanger.Rollback})
	p.conn.Release(err == nil && answers[0].State == exchanger.Idle)
}

// StopForwarding makes this instance refuse new work of other instances, which then
// use other gateways. Open transactions may continue to their end.
func (e *Executor) StopForwarding() {
	e.isStopping.Store(true)
	e.cfg.LeaveGateways()
}

// drainPause is the pause between two checks for open transactions.
const drainPause = 20 * time.Millisecond

// AwaitForwardedTransactions waits until no other instance has a transaction open
// here, but not longer than the limit. It returns how many are still open.
func (e *Executor) AwaitForwardedTransactions(limit time.Duration) int {
	deadline := e.cfg.Clock.Now().Add(limit)
	for e.pinned.count() > 0 && e.cfg.Clock.Now().Before(deadline) {
		e.cfg.Clock.Sleep(drainPause)
	}
	return e.pinned.count()
}
