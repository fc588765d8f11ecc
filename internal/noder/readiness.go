package noder

import (
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
)

// headerTimeout closes a connection to the readiness or metrics port that sends no
// request.
const headerTimeout = 3 * time.Second

// serveReadiness serves the load balancer's readiness probe and the metrics.
func (n *Node) serveReadiness() error {
	probe := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if err := n.serveHTTP(n.settings.ReadinessAddress, probe); err != nil {
		return errors.Wrap(err, "listen for readiness probes")
	}
	if n.settings.MetricsAddress == "" {
		return nil
	}
	figures := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { metrics.WriteOnce(n.metrics, w) })
	if err := n.serveHTTP(n.settings.MetricsAddress, figures); err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	return nil
}

func (n *Node) serveHTTP(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	n.httpServers = append(n.httpServers, srv)
	go srv.Serve(l)
	return nil
}
