package reporter

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	readHeaderTimeout = 5 * time.Second
	requestTimeout    = 15 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Reporter serves the administration API and the health checks until Close.
type Reporter struct {
	cfg    Config
	log    logrus.FieldLogger
	admin  *http.Server
	health *http.Server
	done   chan struct{}
}

// New starts serving on both listeners.
func New(cfg Config) *Reporter {
	r := &Reporter{cfg: cfg, log: cfg.Log, done: make(chan struct{})}
	r.admin = newServer(r.adminRoutes())
	r.health = newServer(r.healthRoutes())
	adminListener := cfg.Admin
	if cfg.AdminTLS != nil {
		adminListener = tls.NewListener(cfg.Admin, cfg.AdminTLS)
	}
	stopped := make(chan struct{}, 2)
	serve := func(s *http.Server, l net.Listener) {
		defer func() { stopped <- struct{}{} }()
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.log.WithError(err).Error("reporter: listener failed")
		}
	}
	go serve(r.admin, adminListener)
	go serve(r.health, cfg.Health)
	go func() {
		<-stopped
		<-stopped
		close(r.done)
	}()
	return r
}

// Done is closed when both listeners have stopped.
func (r *Reporter) Done() <-chan struct{} { return r.done }

// Close stops both listeners and waits for running requests until ctx ends.
func (r *Reporter) Close(ctx context.Context) error {
	return errors.Join(r.admin.Shutdown(ctx), r.health.Shutdown(ctx))
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           http.TimeoutHandler(h, requestTimeout, `{"error":"request timed out"}`),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (r *Reporter) adminRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", r.status)
	mux.HandleFunc("GET /v1/timeline", r.timeline)
	mux.HandleFunc("GET /v1/metrics", r.metrics)
	if r.cfg.Proposals != nil {
		mux.HandleFunc("POST /v1/proposals", r.propose)
		mux.HandleFunc("GET /v1/proposals/{part}", r.openProposal)
		mux.HandleFunc("POST /v1/proposals/{part}/approvals", r.approve)
		mux.HandleFunc("DELETE /v1/proposals/{part}", r.withdraw)
	}
	return mux
}

func (r *Reporter) healthRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { writeLine(w, "ok") })
	mux.HandleFunc("GET /readyz", r.ready)
	return mux
}

func (r *Reporter) status(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.cfg.Status()) }

func (r *Reporter) timeline(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.cfg.Events()) }

func (r *Reporter) metrics(w http.ResponseWriter, _ *http.Request) {
	if r.cfg.BeforeMetrics != nil {
		r.cfg.BeforeMetrics()
	}
	writeJSON(w, r.cfg.Metrics)
}

func (r *Reporter) ready(w http.ResponseWriter, _ *http.Request) {
	s := r.cfg.Status()
	if !s.Ready {
		http.Error(w, s.Reason, http.StatusServiceUnavailable)
		return
	}
	writeLine(w, "ok")
}

func writeLine(w http.ResponseWriter, line string) { _, _ = w.Write([]byte(line + "\n")) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		writeError(w, http.StatusInternalServerError, err)
	}
}
