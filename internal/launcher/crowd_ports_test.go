package launcher_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/deployer"
	"marigoldhub.example/hub/internal/deployer/deployertest"
	"marigoldhub.example/hub/internal/launcher"
)

// Guards against connections to the ports for instances and operators that use up the
// descriptors of the process, or keep its health check from being answered.
func TestCrowdAtTheOtherPorts(t *testing.T) {
	d := deployertest.Start(t, deployer.Council().WithGroups("booking").WithEntries(1))
	e := d.Entries[0]
	file := filepath.Join(d.Dir, e.Name+".toml")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	lowered := strings.Replace(string(text), "max_fds = 10600", "max_fds = 500", 1)
	if lowered == string(text) {
		t.Fatal("the settings have no max_fds")
	}
	if err := os.WriteFile(file, []byte(lowered), 0o600); err != nil {
		t.Fatal(err)
	}
	settings, err := launcher.LoadSettings(file)
	if err != nil {
		t.Fatal(err)
	}
	e.Kill()
	if err := e.Restart(); err != nil {
		t.Fatal(err)
	}
	if err := e.WaitReady(30 * time.Second); err != nil {
		t.Fatal(err)
	}
	if err := serveSession(e, "select 1", 30*time.Second); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var members sync.WaitGroup
	defer members.Wait()
	defer cancel()
	addresses := []string{settings.Peers.Listen, settings.Admin.Listen, settings.Admin.HealthListen}
	for i := range overFDs {
		members.Go(func() { stayUnauthenticated(ctx, addresses[i%len(addresses)], "") })
	}
	most := 0
	for range 150 {
		time.Sleep(20 * time.Millisecond)
		most = max(most, openSockets(e))
	}
	if err := serveSession(e, "select 1", 20*time.Second); err != nil {
		t.Errorf("an ordinary request is not answered: %v", err)
	}
	if err := e.WaitReady(20 * time.Second); err != nil {
		t.Errorf("the health check is not answered: %v", err)
	}
	if e.IsDone() {
		t.Fatal("the process has ended")
	}
	if most > sessionFDs {
		t.Errorf("%d sockets were open, limit %d", most, sessionFDs)
	}
	t.Logf("%d sockets", most)
}
