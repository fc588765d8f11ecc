package overseer_test

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/tracker"
)

// Guards against instances that do not learn the primary, and against
// confirmations that fail on the monitor or on an instance that asks it.
func TestConfirmThroughMonitor(t *testing.T) {
	c := newCluster(t)
	for _, i := range c.instances {
		c.awaitPrimary(i, "s1", 1)
	}
	c.exec("s1", "create table entries (id int primary key)")
	p := c.exec("s1", "insert into entries values (1)")
	for _, i := range c.instances {
		t.Logf("%s: commit confirmed in %v", i.name, c.mustConfirm(i, p, false))
		t.Logf("%s: fresh confirmation in %v", i.name, c.mustConfirm(i, p, true))
		r, err := c.confirm(i, tracker.Position{}, true)
		if err != nil || r.Position.Compare(p) < 0 {
			t.Errorf("%s: read index %v, %v, want at least %v", i.name, r.Position, err, p)
		}
		v := c.awaitView(i, "ages", func(v tracker.View) bool {
			age, ok := v.Replicas[0].Age(time.Now())
			return len(v.Replicas) == 2 && ok && age < time.Second
		})
		if _, ok := v.Replica("s1"); ok {
			t.Errorf("%s: primary is listed as a replica", i.name)
		}
	}
}

// Guards against a failover that the other instances do not learn, and against
// an old primary that does not rejoin the group.
func TestFailoverIsSeenEverywhere(t *testing.T) {
	c := newCluster(t)
	c.awaitPrimary(c.instances[1], "s1", 1)
	c.exec("s1", "create table entries (id int primary key)")
	p := c.exec("s1", "insert into entries values (1)")
	c.mustConfirm(c.instances[1], p, false)
	killedAt := time.Now()
	c.servers["s1"].Close()
	v := c.awaitView(c.instances[1], "new primary", func(v tracker.View) bool { return v.Term > 1 })
	t.Logf("killed to seen by another instance: %v", time.Since(killedAt))
	if v.Primary == "s1" || !v.Lineage.Contains(p) {
		t.Errorf("view %+v lacks confirmed position %v", v, p)
	}
	r, err := c.confirm(c.instances[2], p, false)
	if err != nil || r.Outcome != confirmer.Superseded || !r.Contains(p) {
		t.Errorf("confirmed position after failover: %+v, %v", r, err)
	}
	c.startServer("s1")
	c.awaitView(c.instances[1], "s1 as current replica", func(v tracker.View) bool {
		s1, _ := v.Replica("s1")
		return s1.Reachable && s1.Log.Term == v.Term
	})
	for _, i := range c.instances {
		r, err := c.confirm(i, tracker.Position{}, true)
		if err != nil || r.Position.Term != v.Term {
			t.Errorf("%s: read index %v, %v", i.name, r.Position, err)
		}
	}
}

// Guards against confirmations that fail when the monitor is dead or frozen, and
// against views with an older term after the monitor role moved.
func TestMonitorStops(t *testing.T) {
	c := newCluster(t)
	for _, i := range c.instances {
		c.awaitPrimary(i, "s1", 1)
	}
	c.exec("s1", "create table entries (id int primary key)")
	p := c.exec("s1", "insert into entries values (1)")
	c.instances[0].frozen.Store(true)
	took := c.mustConfirm(c.instances[1], p, true)
	t.Logf("confirmed by direct reads beside a frozen monitor in %v", took)
	if took > 600*time.Millisecond {
		t.Errorf("direct confirmation took %v", took)
	}
	c.members.setHolder("i2")
	c.awaitView(c.instances[2], "monitor i2", func(v tracker.View) bool { return v.Monitor == "i2" })
	took = c.mustConfirm(c.instances[2], p, true)
	t.Logf("confirmed through the new monitor in %v", took)
	c.servers["s1"].Close()
	v := c.awaitView(c.instances[2], "new primary", func(v tracker.View) bool { return v.Term > 1 })
	c.instances[0].frozen.Store(false)
	c.members.setHolder("i1")
	c.awaitView(c.instances[2], "monitor i1", func(v tracker.View) bool { return v.Monitor == "i1" })
	if got, _ := c.instances[2].overseer.View(groupName); got.Term < v.Term {
		t.Errorf("term went back from %d to %d", v.Term, got.Term)
	}
}

// Guards against a switchover that ignores work in flight at another instance, or runs again
// after the monitor role moved. TestSwitchoverPause checks how long it pauses new work.
func TestSwitchover(t *testing.T) {
	c := newCluster(t)
	for _, i := range c.instances {
		c.awaitPrimary(i, "s1", 1)
	}
	c.exec("s1", "create table entries (id int primary key)")
	c.instances[2].inFlight.Store(1)
	c.manifest.Switchovers = []checker.Switchover{{ID: "a", Group: groupName, To: "s3"}}
	c.catalog.set(checker.NewCatalog(c.manifest))
	c.awaitView(c.instances[1], "draining mark", func(v tracker.View) bool { return v.Draining })
	c.awaitView(c.instances[1], "no draining mark", func(v tracker.View) bool { return !v.Draining })
	if v, _ := c.instances[1].overseer.View(groupName); v.Term != 1 {
		t.Fatalf("term %d although a transaction is open at %s", v.Term, c.instances[2].name)
	}
	c.instances[2].inFlight.Store(0)
	v := c.awaitPrimary(c.instances[1], "s3", 2)
	c.members.setHolder("i2")
	c.awaitView(c.instances[2], "monitor i2", func(v tracker.View) bool { return v.Monitor == "i2" })
	c.servers["s3"].Close()
	c.awaitView(c.instances[2], "new primary", func(w tracker.View) bool { return w.Term > v.Term && w.Primary != "s3" })
	c.startServer("s3")
	c.awaitView(c.instances[2], "s3 as current replica", func(v tracker.View) bool {
		s3, _ := v.Replica("s3")
		return s3.Reachable && s3.Log.Term == v.Term
	})
	time.Sleep(1200 * time.Millisecond)
	if w, _ := c.instances[2].overseer.View(groupName); w.Primary == "s3" {
		t.Errorf("switchover ran again")
	}
}

// Guards against a planned change that pauses new work for a target that stores
// everything but still has much to apply.
func TestSwitchoverWaitsForApply(t *testing.T) {
	c := newCluster(t)
	c.awaitPrimary(c.instances[1], "s1", 1)
	c.servers["s3"].SetApplyDelay(time.Hour)
	c.exec("s1", "create table entries (id int primary key)")
	p := c.exec("s1", "insert into entries values (1)")
	c.awaitView(c.instances[0], "late s3", func(v tracker.View) bool {
		s3, _ := v.Replica("s3")
		age, ok := s3.Age(time.Now())
		return c.servers["s3"].Status().Log == p && ok && age > 600*time.Millisecond
	})
	c.manifest.Switchovers = []checker.Switchover{{ID: "a", Group: groupName, To: "s3"}}
	c.catalog.set(checker.NewCatalog(c.manifest))
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if v, _ := c.instances[0].overseer.View(groupName); v.Draining || v.Term != 1 {
			t.Fatalf("planned change began: %+v", v)
		}
	}
	c.servers["s3"].SetApplyDelay(0)
	c.awaitPrimary(c.instances[1], "s3", 2)
}

// Guards against a leaving mark that takes more than 3 s to reach all instances,
// and against a drained primary that stays primary.
func TestDrain(t *testing.T) {
	c := newCluster(t)
	for _, i := range c.instances {
		c.awaitPrimary(i, "s1", 1)
	}
	c.exec("s1", "create table entries (id int primary key)")
	c.servers["s2"].SetLeaving(true)
	markedAt := time.Now()
	c.awaitView(c.instances[1], "leaving mark of s2", func(v tracker.View) bool {
		r, _ := v.Replica("s2")
		return r.Leaving
	})
	t.Logf("leaving mark seen in %v", time.Since(markedAt))
	c.manifest.Drains = []checker.Drain{{Group: groupName, Server: "s1"}}
	drainedAt := time.Now()
	c.catalog.set(checker.NewCatalog(c.manifest))
	c.awaitPrimary(c.instances[1], "s3", 2)
	t.Logf("drained primary replaced in %v", time.Since(drainedAt))
	if d := time.Since(markedAt); d > 3*time.Second {
		t.Errorf("drain took %v", d)
	}
}

// Guards against tasks that outlive their group.
func TestGroupsChange(t *testing.T) {
	c := newCluster(t)
	i := c.instances[0]
	c.awaitPrimary(i, "s1", 1)
	empty := c.manifest
	empty.Groups = nil
	c.catalog.set(checker.NewCatalog(empty))
	deadline := time.Now().Add(2 * time.Second)
	for known := true; known; _, known = i.overseer.View(groupName) {
		if time.Now().After(deadline) {
			t.Fatal("removed group is still known")
		}
		time.Sleep(time.Millisecond)
	}
	c.catalog.set(checker.NewCatalog(c.manifest))
	c.awaitPrimary(i, "s1", 1)
}
