package noder

import (
	"io"
	"log"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/budgeter"
	"marigoldhub.example/hub/internal/limiter"
)

// headerTimeout closes a connection to the readiness or metrics port that sends no
// request or does not read the answer.
const headerTimeout = 3 * time.Second

const (
	// probeIdleTimeout is how long such a connection may be idle. Probes come each second.
	probeIdleTimeout = 30 * time.Second
	// maxProbeHeader is the largest header of such a request in bytes, and
	// maxProbeConnections the number of open connections to either port.
	maxProbeHeader      = 8 << 10
	maxProbeConnections = 32
)

// serveReadiness serves the load balancer's readiness probe and the metrics.
func (n *Node) serveReadiness() error {
	probe := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if err := n.serveHTTP(n.settings.ReadinessAddress, n.sockets.readiness, probe); err != nil {
		return errors.Wrap(err, "listen for readiness probes")
	}
	if n.settings.MetricsAddress == "" {
		return nil
	}
	figures := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { metrics.WriteOnce(n.metrics, w) })
	if err := n.serveHTTP(n.settings.MetricsAddress, n.sockets.metrics, figures); err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	return nil
}

func (n *Node) serveHTTP(address string, u *limiter.Use, h http.Handler) error {
	l, err := n.listen(address, probeReceiveBuffer, u)
	if err != nil {
		return err
	}
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, WriteTimeout: headerTimeout,
		IdleTimeout: probeIdleTimeout, MaxHeaderBytes: maxProbeHeader, ErrorLog: log.New(io.Discard, "", 0),
	}
	n.httpServers = append(n.httpServers, srv)
	go srv.Serve(budgeter.NewListener(l, maxProbeConnections, n.clock, n.budget.Refusals()))
	return nil
}
