//go:build review

package standin

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// nodeZones are the zones of the machines of the small deployment tapak-boot.
var nodeZones = []string{"shah-alam", "shah-alam", "shah-alam", "petaling", "petaling", "klang", "klang"}

// node is a marigold-node process.
type node struct {
	name, zone                         string
	front, readiness, control, metrics string
	cmd                                *exec.Cmd
	ended                              chan struct{}
}

// Ports of nodes are below the range from which the system assigns ports to connections.
const (
	firstPort = 20000
	lastPort  = 31999
	// processStride is the number of ports between the first ones of two processes with
	// successive ids.
	processStride = 64
)

var nextPort = firstPort + os.Getpid()*processStride%(lastPort-firstPort)

// freeAddress returns a loopback address at which nothing listens.
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
	return "", errors.New("no port is free")
}

// probeClient is the client of the readiness probe.
var probeClient = http.Client{Timeout: time.Second}

// startNodes starts a process for each zone and waits until all are ready.
func (w *world) startNodes(zones []string) error {
	for i, zone := range zones {
		n := &node{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ended: make(chan struct{})}
		for _, a := range []*string{&n.front, &n.readiness, &n.control, &n.metrics} {
			var err error
			if *a, err = freeAddress(); err != nil {
				return err
			}
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := w.startNode(n); err != nil {
			return err
		}
	}
	return w.await(20*time.Second, "all nodes are ready", func() bool {
		for _, n := range w.nodes {
			if !n.isReady() {
				return false
			}
		}
		return true
	})
}

func (w *world) startNode(n *node) error {
	_, port, _ := net.SplitHostPort(n.metrics)
	var seeds []string
	for _, o := range w.nodes[:min(3, len(w.nodes))] {
		seeds = append(seeds, fmt.Sprintf("%q", o.control))
	}
	settings := filepath.Join(w.dir, n.name+".toml")
	data := fmt.Sprintf(`node = %q
role = "entry"
class = "edge"
serves = ["edge","ctl"]
ip = "127.0.0.1"
zone = %q
region = "selangor"
port_range = [%[3]s,%[3]s]
seeds = [%s]
bootstrap = true
in_budget = false
discovery = "platform"
entry = "vip"
heartbeat_ms = %d
contracts = ["base","drain","config","cost","recover","sql","platform"]
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
seed_lag_s = 3
reuse_after_s = 2
stability_ms = 4000
ack_ms = 5000
catchup_s = 4
drain_ms = 7000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_ms = 250
skew_max_ms = 12000
recovery_s = 12
require_fence = false
thaw_ms = 300
[platform]
addr = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
[cloud]
addr = %[9]q
rate_per_s = 50.0
duties = ["failover"]
duty_per_s = 50.0
`, n.name, n.zone, port, strings.Join(seeds, ","), heartbeat.Milliseconds(), n.front, n.readiness, n.control, w.platform)
	if err := os.WriteFile(settings, []byte(data), 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.dir, n.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command(w.program)
	n.cmd.Env = []string{"MARIGOLDHUB_BOOT=" + settings, "GOMAXPROCS=1"}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	go func() {
		defer close(n.ended)
		n.cmd.Wait()
	}()
	return nil
}

func (n *node) isReady() bool {
	resp, err := probeClient.Get("http://" + n.readiness + "/api/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// kill ends the process and waits for it.
func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.ended
}
