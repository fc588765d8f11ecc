package overseer_test

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/tracker"
)

// withServers returns the manifest with other servers in its group.
func (c *cluster) withServers(servers ...checker.Server) checker.Manifest {
	m := c.manifest
	g := m.Groups[0]
	g.Servers = servers
	m.Groups = []checker.Group{g}
	return m
}

// countRejections returns the number of recorded rejections of a server list.
func (i *instance) countRejections() int {
	n := 0
	for _, e := range i.recorder.Events() {
		if e.Kind == "group_change_refused" {
			n++
		}
	}
	return n
}

func hasReplica(name string) func(tracker.View) bool {
	return func(v tracker.View) bool {
		_, ok := v.Replica(name)
		return ok
	}
}

// Guards against a promotion under a server list whose majorities need not share
// a server with those that confirmed records.
func TestGroupChangeRefused(t *testing.T) {
	c := newCluster(t)
	i := c.instances[0]
	c.awaitPrimary(i, "s1", 1)
	old := c.manifest.Groups[0].Servers
	x, y := old[1], old[2]
	x.Name, y.Name = "x", "y"
	c.catalog.set(checker.NewCatalog(c.withServers(old[0], x, y)))
	deadline := time.Now().Add(2 * time.Second)
	for i.countRejections() == 0 {
		if time.Now().After(deadline) {
			t.Fatal("change of two servers was not rejected")
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	v, _ := i.overseer.View(groupName)
	if !hasReplica("s2")(v) || !hasReplica("s3")(v) || hasReplica("x")(v) {
		t.Errorf("view %+v does not show the old servers", v)
	}
	if n := i.countRejections(); n != 1 {
		t.Errorf("%d rejections recorded, want 1", n)
	}
	c.catalog.set(checker.NewCatalog(c.withServers(old[0], old[1], y)))
	c.awaitView(i, "one changed server", hasReplica("y"))
}

// Guards against a second reconfiguration that is applied before the primary is
// established under the server list of the first.
func TestGroupChangeWaitsForPrimary(t *testing.T) {
	c := newCluster(t)
	i := c.instances[0]
	c.awaitPrimary(i, "s1", 1)
	c.servers["s2"].Close()
	old := c.manifest.Groups[0].Servers
	x, y := old[1], old[2]
	x.Name, y.Name = "x", "y"
	c.catalog.set(checker.NewCatalog(c.withServers(old[0], old[1], y)))
	time.Sleep(200 * time.Millisecond)
	c.catalog.set(checker.NewCatalog(c.withServers(old[0], x, y)))
	time.Sleep(200 * time.Millisecond)
	c.startServer("s2")
	c.awaitView(i, "first change", func(v tracker.View) bool { return hasReplica("s2")(v) && hasReplica("y")(v) })
	if n := i.countRejections(); n != 0 {
		t.Errorf("%d rejections recorded, want 0", n)
	}
}
