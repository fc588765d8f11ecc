//go:build review

package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"marigoldhub.example/hub/internal/storer/storertest"
)

// Bounds of the small deployment whose settings the scripts use (tapak-boot).
const (
	graceSeconds   = 6
	drainMS        = 7000
	heartbeat      = 1200 * time.Millisecond
	entryLifetime  = 3 * heartbeat
	promoteDelay   = 600 * time.Millisecond
	maxConnections = 41
	instances      = 7
)

// zones of the instances, in the order in which they are started.
var zones = []string{"shah-alam", "petaling", "klang", "shah-alam", "petaling", "klang", "shah-alam"}

// world is the platform with its servers, and the instances as processes.
type world struct {
	began   time.Time
	dir     string
	program string
	store   *storertest.Memory
	groups  []*group
	nodes   []*node

	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	findings []string
	// lastWriter is the instance that last wrote to the store under a condition.
	lastWriter *node
	// onPromote is called when a promote call was accepted.
	onPromote func(g *group, id string, by *node)
	version   int
	// token is the highest fencing token that the promote call has seen, holder who sent it.
	token  int64
	holder string
}

// node is one instance. It reaches the store and the promote call at an address of its own.
type node struct {
	w                           *world
	name, zone                  string
	front, ready, control, boot string
	platform, cloud             *http.Server
	platformAddr, cloudAddr     string
	storeLink, cloudLink        *platformLink

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

func newWorld(record, program string) (*world, error) {
	w := &world{began: time.Now(), program: program, store: storertest.New(), version: 3}
	if record != "" {
		f, err := os.Create(record)
		if err != nil {
			return nil, err
		}
		w.file, w.record = f, bufio.NewWriter(f)
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	var err error
	w.dir, err = os.MkdirTemp("", "review-")
	return w, err
}

func (w *world) close() {
	var ended sync.WaitGroup
	for _, n := range w.nodes {
		ended.Go(func() {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			n.await(5 * time.Second)
		})
	}
	ended.Wait()
	os.RemoveAll(w.dir)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.file != nil {
		w.record.Flush()
		w.file.Close()
		w.file = nil
	}
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.file != nil {
		fmt.Fprintf(w.record, "%9.4f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// found records that a rule was broken.
func (w *world) found(format string, args ...any) {
	w.mu.Lock()
	w.findings = append(w.findings, fmt.Sprintf(format, args...))
	w.mu.Unlock()
	w.note("FINDING "+format, args...)
}

func (w *world) broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.findings...)
}

// listen returns a listener on a free loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

// The ports of processes are below the range from which the system assigns ports to
// outgoing connections.
const firstPort, lastPort = 20000, 31999

var nextPort = firstPort + os.Getpid()*61%(lastPort-firstPort)

// freeAddress returns a loopback address on which a process can listen.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if l, err := net.Listen("tcp4", address); err == nil {
			l.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port")
}

// addNode writes the settings of an instance and starts the platform's addresses for it.
func (w *world) addNode(i int) (*node, error) {
	zone := zones[i%len(zones)]
	n := &node{w: w, name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone}
	for _, a := range []*string{&n.front, &n.ready, &n.control} {
		var err error
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	var err error
	if n.platform, n.platformAddr, err = serve(w.storeHandler(n)); err != nil {
		return nil, err
	}
	if n.cloud, n.cloudAddr, err = serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.promoteCall(rw, r, n) })); err != nil {
		return nil, err
	}
	if n.storeLink, n.platformAddr, err = newLink(n.platformAddr); err != nil {
		return nil, err
	}
	if n.cloudLink, n.cloudAddr, err = newLink(n.cloudAddr); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, nil
}

func serve(h http.Handler) (*http.Server, string, error) {
	l, err := listen()
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	return s, l.Addr().String(), nil
}

func (n *node) writeSettings(seeds []string) error {
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = strconv.Quote(s)
	}
	n.boot = filepath.Join(n.w.dir, n.name+".toml")
	return os.WriteFile(n.boot, fmt.Appendf(nil, `node = %q
role = "entry"
class = "edge"
serves = ["edge","ctl"]
ip = "127.0.0.1"
zone = %q
region = "selangor"
seeds = [%s]
bootstrap = true
in_budget = false
discovery = "platform"
entry = "vip"
heartbeat_ms = %d
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
shah-alam = "selangor"
petaling = "selangor"
klang = "selangor"
[listen]
front = %q
ready_addr = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4300
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
drain_ms = %d
grace_s = %d
config_apply_ms = 3000
stability_ms = 4000
[platform]
addr = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
[cloud]
addr = %q
rate_per_s = 50.0
duties = ["failover"]
duty_per_s = 50.0
`, n.name, n.zone, strings.Join(quoted, ","), heartbeat.Milliseconds(), n.front, n.ready, n.control, drainMS, graceSeconds, n.platformAddr, n.cloudAddr), 0o644)
}

// start starts the process with the command and the environment of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(n.w.program)
	cmd.Env = []string{"MARIGOLDHUB_BOOT=" + n.boot, "GOMAXPROCS=1", "PATH=" + os.Getenv("PATH"), "HOME=" + n.w.dir}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if logs := os.Getenv("REVIEW_LOGS"); logs != "" {
		f, err := os.OpenFile(filepath.Join(logs, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		cmd.Stdout, cmd.Stderr = f, f
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		cmd.Wait()
	}()
	n.cmd, n.ended = cmd, ended
	return nil
}

// signal sends a signal to the process if it runs.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	select {
	case <-n.ended:
	default:
		n.cmd.Process.Signal(sig)
	}
}

// await waits for the end of the process.
func (n *node) await(limit time.Duration) bool {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + n.ready + "/api/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// begin starts the servers, writes the configuration and starts the instances.
func (w *world) begin(services ...string) error {
	for _, name := range services {
		g, err := newGroup(w, name)
		if err != nil {
			return err
		}
		w.groups = append(w.groups, g)
	}
	w.putConfiguration()
	for i := range instances {
		if _, err := w.addNode(i); err != nil {
			return err
		}
	}
	var seeds []string
	for _, n := range w.nodes[:3] {
		seeds = append(seeds, n.control)
	}
	for _, n := range w.nodes {
		if err := n.writeSettings(seeds); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	return eventually(20*time.Second, "all instances are ready and one acts for them", func() bool {
		for _, n := range w.nodes {
			if !n.isReady() {
				return false
			}
		}
		return w.coordinator() != nil
	})
}

func eventually(limit time.Duration, what string, ok func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// coordinator returns the instance that last wrote to the store under a condition.
func (w *world) coordinator() *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastWriter
}

// putConfiguration writes the operator's configuration: for each service one route of each
// kind, with the figures of the site file.
func (w *world) putConfiguration() {
	var routes, services []map[string]any
	for _, g := range w.groups {
		for _, r := range []map[string]any{
			{"kind": "primary", "timeout_ms": 800, "latency_slo_ms": 150, "priority": 1, "max_staleness_ms": 0},
			{"kind": "bounded", "timeout_ms": 2000, "latency_slo_ms": 500, "priority": 2, "max_staleness_ms": 1500},
			{"kind": "session", "timeout_ms": 800, "latency_slo_ms": 250, "priority": 2, "max_staleness_ms": 2500},
		} {
			r["name"], r["host"], r["service"] = fmt.Sprintf("%s-%s", g.service, r["kind"]), fmt.Sprintf("%s-%s", g.service, r["kind"]), g.service
			routes = append(routes, r)
		}
		services = append(services, map[string]any{"name": g.service, "max_conns": maxConnections, "sync_replicas": 1})
	}
	value, err := json.Marshal(map[string]any{"version": w.version, "routes": routes, "services": services, "limits": map[string]any{"tx_idle_ms": 10000}})
	if err != nil {
		panic(err)
	}
	w.store.Put("op/config", value)
	w.note("operator writes configuration %d", w.version)
}

// promoteCall is the platform's promote call.
func (w *world) promoteCall(rw http.ResponseWriter, r *http.Request, by *node) {
	var body struct{ Service, ID string }
	if r.Method != http.MethodPost || r.URL.Path != "/promote" || json.NewDecoder(r.Body).Decode(&body) != nil {
		http.Error(rw, "bad call", http.StatusBadRequest)
		return
	}
	holder, token := r.Header.Get("Duty-Holder"), r.Header.Get("Fence-Token")
	w.checkToken(holder, token)
	for _, g := range w.groups {
		if g.service != body.Service {
			continue
		}
		ok := g.promote(body.ID)
		w.note("promote call by %s (holder %s, token %s): server %s of %s, accepted %v", by.name, holder, token, body.ID, body.Service, ok)
		if !ok {
			rw.WriteHeader(http.StatusConflict)
			return
		}
		w.mu.Lock()
		f := w.onPromote
		w.mu.Unlock()
		if f != nil {
			f(g, body.ID, by)
		}
		return
	}
	rw.WriteHeader(http.StatusConflict)
}

// checkToken checks that fencing tokens never fall and that each has one holder.
func (w *world) checkToken(holder, text string) {
	token, err := strconv.ParseInt(text, 10, 64)
	w.mu.Lock()
	seen, by := w.token, w.holder
	if token > w.token {
		w.token, w.holder = token, holder
	}
	w.mu.Unlock()
	if err != nil || token < seen || token == seen && holder != by {
		w.found("ONE: %s sends the fencing token %s; %s has sent %d before", holder, text, by, seen)
	}
}
