package overseer_test

import (
	"fmt"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/tracker"
)

// restartAll replaces all instances by new ones without any state.
func (c *cluster) restartAll() {
	for _, i := range c.instances {
		i.close()
	}
	c.members.mu.Lock()
	c.members.list = nil
	c.members.mu.Unlock()
	n := len(c.instances)
	c.instances = nil
	for k := range n {
		c.startInstance(fmt.Sprintf("i%d", k+1))
	}
}

// Guards against a declared switchover that took effect but runs again when all
// instances were replaced and a failure has moved the primary since.
func TestSwitchoverAfterRestart(t *testing.T) {
	c := newCluster(t)
	c.awaitPrimary(c.instances[0], "s1", 1)
	c.exec("s1", "create table entries (id int primary key)")
	c.manifest.Switchovers = []checker.Switchover{{ID: "a", Group: groupName, To: "s3"}}
	c.catalog.set(checker.NewCatalog(c.manifest))
	v := c.awaitPrimary(c.instances[0], "s3", 2)
	c.restartAll()
	c.awaitPrimary(c.instances[0], "s3", v.Term)
	c.servers["s3"].Close()
	c.awaitView(c.instances[0], "new primary", func(w tracker.View) bool { return w.Term > v.Term && w.Primary != "s3" })
	c.startServer("s3")
	c.restartAll()
	v = c.awaitView(c.instances[0], "s3 as current replica", func(v tracker.View) bool {
		s3, _ := v.Replica("s3")
		return s3.Reachable && s3.Log.Term == v.Term
	})
	time.Sleep(2500 * time.Millisecond)
	if w, _ := c.instances[0].overseer.View(groupName); w.Primary != v.Primary || w.Term != v.Term {
		t.Errorf("primary is %s in term %d, was %s in term %d: switchover ran again", w.Primary, w.Term, v.Primary, v.Term)
	}
}
