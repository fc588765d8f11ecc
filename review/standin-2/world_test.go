//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/exchanger/exchangertest"
	"marigoldhub.example/hub/internal/storer/storertest"
)

const (
	// heartbeat is how often servers write their entries.
	heartbeat = 1200 * time.Millisecond
	// promoteDelay is the time until a promotion takes effect.
	promoteDelay = 600 * time.Millisecond
	// followInterval is how often servers look for the newest primary.
	followInterval = 100 * time.Millisecond
)

// world is the platform, the servers and the processes of one case.
type world struct {
	*exchangertest.Cluster
	rec      *record
	program  string
	dir      string
	store    *storertest.Memory
	platform string
	servers  map[string]*server
	nodes    []*node
	// onPromote is called with the server of each promote call that is accepted.
	onPromote func(id string)
	stop      chan struct{}
	ended     sync.WaitGroup
	closers   []func()
}

// newWorld starts the store and three servers; the first one is the primary.
func newWorld(rec *record, program string) (*world, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{
		Cluster: exchangertest.New("i-a", "i-b", "i-c"), rec: rec, program: program, dir: dir, store: storertest.New(),
		servers: map[string]*server{}, stop: make(chan struct{}),
	}
	w.SetPromoteDelay(promoteDelay)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.platform = l.Addr().String()
	mux := http.NewServeMux()
	w.serveStore(mux)
	mux.HandleFunc("POST /promote", w.promote)
	api := &http.Server{Handler: mux}
	go api.Serve(l)
	w.closers = append(w.closers, func() { api.Close() })
	zones := []string{"shah-alam", "petaling", "klang"}
	for i, srv := range w.Servers() {
		if err := w.startServer(srv.ID, zones[i]); err != nil {
			return nil, err
		}
	}
	w.store.Put("op/config", []byte(configuration))
	w.every(heartbeat, func() {
		for id := range w.servers {
			w.writeEntry(id)
		}
	})
	w.every(followInterval, w.CatchUp)
	return w, nil
}

// configuration has the kinds of request of the deployment tapak-boot.
const configuration = `{"version":3,"routes":[
	{"name":"pitch-booking","host":"booking","kind":"primary","timeout_ms":800,"latency_slo_ms":150,"priority":1,"service":"service"},
	{"name":"pitch-map","host":"map","kind":"bounded","timeout_ms":2000,"latency_slo_ms":500,"priority":2,"service":"service","max_staleness_ms":1500},
	{"name":"gate-checkin","host":"checkin","kind":"session","timeout_ms":800,"latency_slo_ms":250,"priority":2,"service":"service","max_staleness_ms":2500}],
	"services":[{"name":"service","max_conns":41,"sync_replicas":1}],"limits":{"tx_idle_ms":2000}}`

// every calls f at an interval until the end of the case.
func (w *world) every(interval time.Duration, f func()) {
	w.ended.Go(func() {
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(interval):
				f()
			}
		}
	})
}

// await waits until the condition holds.
func (w *world) await(limit time.Duration, what string, ok func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// close ends everything that was started. The logs of the processes stay if REVIEW_LOGS
// names a folder.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	close(w.stop)
	w.ended.Wait()
	for _, f := range w.closers {
		f()
	}
	if kept := os.Getenv("REVIEW_LOGS"); kept != "" {
		os.Rename(w.dir, kept)
		return
	}
	os.RemoveAll(w.dir)
}

// promote is the platform's call.
func (w *world) promote(rw http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	token, err := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("Duty-Holder")
	err = w.Promote(r.Context(), body.Service, body.ID, holder, token)
	w.rec.note("promote %s by %s, token %d: %v", body.ID, holder, token, err)
	if err != nil {
		rw.WriteHeader(http.StatusConflict)
		return
	}
	if w.onPromote != nil {
		w.onPromote(body.ID)
	}
}
