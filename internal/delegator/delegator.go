package delegator

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/selector"
)

// Config holds what a [Delegator] needs.
type Config struct {
	// Instance and Zone are the name and the availability zone of this instance.
	Instance, Zone string
	// Forwarder reaches the gateways, and Selector knows them.
	Forwarder selector.Forwarder
	Selector  *selector.Selector
	Clock     clockwork.Clock
	// TimeOfDay returns the wall-clock time, which may be wrong by seconds.
	TimeOfDay func() time.Time
	Metrics   metrics.Registry
	Log       logrus.FieldLogger
}

// Delegator sends statements for backend servers to their gateways.
type Delegator struct {
	cfg Config
	// left are requests that were withdrawn, or not sent, because their callers had left;
	// requestsOtherZone and bytesOtherZone are all requests to gateways and servers of
	// other zones.
	left, requestsOtherZone, bytesOtherZone metrics.Counter
	// transactionSeq numbers the transactions that this instance begins at gateways.
	transactionSeq atomic.Uint64
}

// New returns a delegator.
func New(cfg Config) *Delegator {
	c := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("dispatcher."+name, cfg.Metrics)
	}
	return &Delegator{cfg: cfg, left: c("callers_left"), requestsOtherZone: c("requests_other_zone"), bytesOtherZone: c("bytes_other_zone")}
}

// Acquire returns a connection to the server, or why a request should not wait for
// one. With gateways it returns at once, and the request waits at the gateway. The
// function releaseSlot frees the slot at the server; the connection may be kept
// longer.
func (d *Delegator) Acquire(b *connector.Backend, r connector.Request) (c connector.Conn, releaseSlot func(), err error) {
	if b.UsesGateways() {
		return d.NewConn(b, r), func() {}, nil
	}
	own, releaseSlot, err := b.Open(d.cfg.Clock.Now(), r)
	if err != nil {
		return nil, nil, err
	}
	return own, releaseSlot, nil
}

// NewConn returns a connection to the server through its gateways. It counts as in flight
// until its release, and waits for nothing until a statement is run.
func (d *Delegator) NewConn(b *connector.Backend, r connector.Request) *Conn {
	b.AddInFlight(1)
	return &Conn{d: d, b: b, req: r, createdAt: d.cfg.Clock.Now()}
}

// nextTransaction returns a transaction id that is unique among all instances.
func (d *Delegator) nextTransaction() string {
	return d.cfg.Instance + "/" + strconv.FormatInt(d.cfg.TimeOfDay().UnixNano(), 36) + "/" + strconv.FormatUint(d.transactionSeq.Add(1), 36)
}

// countZoneTraffic counts a request to a gateway or server of another zone, with the
// bytes of its statements.
func (d *Delegator) countZoneTraffic(zone string, r forwarder.Request) {
	if zone == d.cfg.Zone {
		return
	}
	d.requestsOtherZone.Inc(1)
	for _, s := range r.Statements {
		d.bytesOtherZone.Inc(int64(len(s.Text) + len(s.Arguments) + len(s.Template)))
	}
}
