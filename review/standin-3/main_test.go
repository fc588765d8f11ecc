//go:build review

package standin3

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// processes are the instances that were started.
var processes []*exec.Cmd

func endProcesses() {
	for _, p := range processes {
		p.Process.Kill()
		p.Wait()
	}
}

// fail ends a case that cannot run.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	endProcesses()
	os.Exit(exitNotRun)
}

// TestMain runs the case that the environment names.
func TestMain(*testing.M) {
	f, err := os.Create(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		fail(err)
	}
	r := &record{f: f, began: time.Now()}
	run, ok := cases[os.Getenv("REVIEW_CASE")]
	if !ok {
		fail(fmt.Errorf("no case %q", os.Getenv("REVIEW_CASE")))
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fail(err)
	}
	broken := run(r, dir, os.Getenv("TROUBLE") != "0")
	endProcesses()
	os.RemoveAll(dir)
	code, result := exitHeld, "the rule held"
	if broken != "" {
		code, result = exitBroken, "the rule was broken: "+broken
	}
	r.add("%s", result)
	fmt.Println(result)
	f.Close()
	os.Exit(code)
}

// instance is a started instance.
type instance struct {
	name, front, ready, control string
	settings, program           string
	log                         *os.File
	process                     *exec.Cmd
}

// freeAddress returns an address with a port that was free a moment ago.
func freeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

// newInstances prepares instances with settings like those of a small deployment.
func (w *world) newInstances(dir string, n int) []*instance {
	var all []*instance
	var seeds []string
	for i := range n {
		in := &instance{name: fmt.Sprintf("edge-z1-%d", i+1), front: freeAddress(), ready: freeAddress(), control: freeAddress(), program: os.Getenv("REVIEW_PROGRAM")}
		in.settings = filepath.Join(dir, in.name+".toml")
		all = append(all, in)
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", in.control))
		}
	}
	for _, in := range all {
		text := fmt.Sprintf(`node = %q
role = "entry"
class = "edge"
serves = ["edge", "ctl"]
ip = "127.0.0.1"
zone = "z1"
region = "r1"
port_range = [%s, %s]
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "recover", "sql", "platform"]
[zones]
z1 = "r1"
[listen]
front = %q
ready_addr = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4200
link_mbps = 1000.0
[bounds]
stability_ms = 4000
drain_ms = 7000
grace_s = 6
config_apply_ms = 3000
recovery_s = 12
require_fence = false
thaw_ms = 300
[platform]
addr = %q
form = "kv"
min_ttl_ms = 1000
[cloud]
addr = %q
`, in.name, portOf(freeAddress()), portOf(freeAddress()), strings.Join(seeds, ", "), in.front, in.ready, in.control, w.storeAddr, w.cloudAddr)
		if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
			fail(err)
		}
		log, err := os.Create(filepath.Join(dir, in.name+".log"))
		if err != nil {
			fail(err)
		}
		in.log = log
	}
	return all
}

// start starts the instance's process as the deploy file does.
func (in *instance) start() {
	in.process = exec.Command(in.program)
	in.process.Env = []string{"PATH=" + os.Getenv("PATH"), "MARIGOLDHUB_BOOT=" + in.settings, "GOMAXPROCS=1"}
	in.process.Stdout, in.process.Stderr = in.log, in.log
	if err := in.process.Start(); err != nil {
		fail(err)
	}
	processes = append(processes, in.process)
}

// awaitReady waits until the instances report themselves ready.
func awaitReady(all []*instance) {
	deadline := time.Now().Add(15 * time.Second)
	for _, in := range all {
		for {
			resp, err := http.Get("http://" + in.ready + "/api/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				fail(fmt.Errorf("%s is not ready", in.name))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// putConfiguration writes the operator's configuration.
func (w *world) putConfiguration() {
	w.store.Put("op/config", fmt.Appendf(nil, `{"version":7,"routes":[
		{"name":"r1","host":"orders","prefix":"/","kind":"primary","timeout_ms":800,"latency_slo_ms":150,"priority":1,"service":%[1]q},
		{"name":"r2","host":"search","prefix":"/","kind":"bounded","timeout_ms":2000,"latency_slo_ms":500,"priority":2,"service":%[1]q,"max_staleness_ms":1500},
		{"name":"r3","host":"queue","prefix":"/","kind":"session","timeout_ms":800,"latency_slo_ms":250,"priority":2,"service":%[1]q,"max_staleness_ms":2500}],
		"services":[{"name":%[1]q,"max_conns":23,"sync_replicas":1}],"limits":{"tx_idle_ms":3000}}`, service))
}

// caller is a caller's session.
type caller struct {
	c net.Conn
	r *bufio.Reader
}

// dial opens a session; nil if the instance does not open one.
func dial(in *instance, database string) *caller {
	c, err := net.DialTimeout("tcp4", in.front, time.Second)
	if err != nil {
		return nil
	}
	s := &caller{c, bufio.NewReader(c)}
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "CONNECT %s u1\r\n", database)
	if line, err := s.r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		c.Close()
		return nil
	}
	return s
}

// query sends a statement and returns the rows and the line that ends the answer; empty without
// a complete answer within the time.
func (s *caller) query(id, text string, limit time.Duration) (rows []string, end string) {
	s.c.SetDeadline(time.Now().Add(limit))
	fmt.Fprintf(s.c, "QUERY %s %s\r\n", id, text)
	for {
		line, err := s.r.ReadString('\n')
		if err != nil {
			return nil, ""
		}
		line = strings.TrimRight(line, "\r\n")
		switch word, rest, _ := strings.Cut(line, " "); word {
		case "ROW":
			rows = append(rows, rest)
		case "COMPLETE", "ERROR":
			end = line
		case "READY":
			return rows, end
		}
	}
}

var idMu sync.Mutex

func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	return fmt.Sprintf("%016x", rand.Uint64())
}
