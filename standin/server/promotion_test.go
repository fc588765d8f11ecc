package server

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

// Guards against group functions that accept what the design page refuses.
func TestFencePromoteFollow(t *testing.T) {
	for _, m := range modes {
		t.Run(m.name, func(t *testing.T) {
			a := primary(t)
			b := replicaOf(t, a, "b")
			c := connect(t, b, m.options)
			eventually(t, "replica follows", func() bool { return b.Status().Log == a.Status().Log })
			if _, err := c.Exec(t.Context(), "INSERT INTO marigold_request (request_key) VALUES ('k')"); sqlState(err) != "25006" {
				t.Errorf("write on a replica: %v", err)
			}
			fence := "SELECT * FROM marigold_group_fence($1, $2)"
			promote := "SELECT * FROM marigold_group_promote($1, $2)"
			if st := command(t, c, fence, 1, "x"); st.Promoter == "x" {
				t.Errorf("fence of an old term accepted: %+v", st)
			}
			if st := command(t, c, fence, 3, "x"); st.Term != 3 || st.Promoter != "x" || st.Role != tracker.RoleFenced {
				t.Errorf("fence: %+v", st)
			}
			if st := command(t, c, fence, 3, "y"); st.Promoter != "x" {
				t.Errorf("fence of a second promoter accepted: %+v", st)
			}
			if st := command(t, c, promote, 3, "y"); st.Role != tracker.RoleFenced {
				t.Errorf("promote by another promoter accepted: %+v", st)
			}
			st := command(t, c, promote, 3, "x")
			if st.Role != tracker.RolePrimary || st.Log != (tracker.Position{Term: 3, Offset: 2}) || st.Lineage.String() != "1:0,3:1" {
				t.Errorf("promote: %+v", st)
			}
			exec(t, c, "INSERT INTO marigold_request (request_key) VALUES ('k')")
			if st := command(t, c, "SELECT * FROM marigold_group_status()"); st.Log.Offset != 3 || st.Connections != 1 {
				t.Errorf("status: %+v", st)
			}
			follow := "SELECT * FROM marigold_group_follow($1, $2, $3)"
			if st := command(t, c, follow, 2, "a", a.ReplicationAddr()); st.Role != tracker.RolePrimary {
				t.Errorf("follow of an old term accepted: %+v", st)
			}
			command(t, connect(t, a, m.options), follow, 3, "b", b.ReplicationAddr())
			eventually(t, "old primary follows", func() bool { return a.Status().Log == b.Status().Log })
		})
	}
}

// Guards against commits that enter the log after a fence has returned.
func TestNoCommitAfterFence(t *testing.T) {
	s := primary(t)
	admin := connect(t, s, "")
	exec(t, admin, "CREATE TABLE item (id bigint PRIMARY KEY)")
	var next atomic.Int64
	stopped := make(chan string, 8)
	for range 8 {
		c := connect(t, s, "")
		go func() {
			for {
				if _, err := c.Exec(context.Background(), "INSERT INTO item (id) VALUES ($1)", next.Add(1)); err != nil {
					stopped <- sqlState(err)
					return
				}
			}
		}()
	}
	idle := connect(t, s, "")
	time.Sleep(50 * time.Millisecond)
	exec(t, idle, "BEGIN")
	exec(t, idle, "INSERT INTO item (id) VALUES (-1)")
	st := command(t, admin, "SELECT * FROM marigold_group_fence(2, 'x')")
	for range 8 {
		if code := <-stopped; code != "25006" {
			t.Errorf("writer ended with %q", code)
		}
	}
	if _, err := idle.Exec(t.Context(), "COMMIT"); sqlState(err) != "25006" {
		t.Errorf("commit of an open transaction: %v", err)
	}
	if got := s.Status().Log; got != st.Log {
		t.Errorf("log end %v, was %v when the fence returned", got, st.Log)
	}
	var n int64
	if err := admin.QueryRow(t.Context(), "SELECT count(*) FROM item").Scan(&n); err != nil || n != int64(st.Log.Offset)-2 {
		t.Errorf("%d rows, %v, log end %v", n, err, st.Log)
	}
}

// Guards against a returned primary that keeps records the group has lost, or
// that lets a client see rows change under an open connection.
func TestTruncationOfReturnedPrimary(t *testing.T) {
	a := primary(t)
	b := replicaOf(t, a, "b")
	ca := connect(t, a, "")
	exec(t, ca, "CREATE TABLE item (id bigint PRIMARY KEY)")
	eventually(t, "replica follows", func() bool { return b.Status().Log == a.Status().Log })
	b.SetFrozen(true)
	exec(t, ca, "INSERT INTO item (id) VALUES (1)")
	if st, err := b.node.Fence(2, "x"); err != nil || st.Log.Offset != 2 {
		t.Fatalf("%+v, %v", st, err)
	}
	if _, err := b.node.Promote(2, "x"); err != nil {
		t.Fatal(err)
	}
	b.SetFrozen(false)
	exec(t, connect(t, b, ""), "INSERT INTO item (id) VALUES (2)")
	command(t, ca, "SELECT * FROM marigold_group_follow(2, 'b', '"+b.ReplicationAddr()+"')")
	eventually(t, "old primary truncated", func() bool { return a.Status().Log == b.Status().Log })
	if _, err := ca.Exec(t.Context(), "SELECT 1"); err == nil || sqlState(err) != "" {
		t.Errorf("connection survived truncation: %v", err)
	}
	var id int64
	if err := connect(t, a, "").QueryRow(t.Context(), "SELECT id FROM item").Scan(&id); err != nil || id != 2 {
		t.Errorf("got %d, %v", id, err)
	}
	if got := a.Status().Lineage.String(); got != "1:0,2:2" {
		t.Errorf("lineage %s", got)
	}
}

// Guards against a restarted server that forgets its log or term, or leads
// again by itself.
func TestRestart(t *testing.T) {
	cfg := testConfig(t, "a")
	cfg.InitialPrimary = true
	s := start(t, cfg)
	c := connect(t, s, "")
	exec(t, c, "CREATE TABLE item (id bigint PRIMARY KEY, note text)")
	exec(t, c, "INSERT INTO item (id, note) VALUES ($1, $2)", 1, "x")
	before := s.Status()
	s.Close()
	s = start(t, cfg)
	after := s.Status()
	if after.Role != tracker.RoleFenced || after.Term != before.Term || after.Log != before.Log {
		t.Errorf("before %+v, after %+v", before, after)
	}
	var note string
	if err := connect(t, s, "").QueryRow(t.Context(), "SELECT note FROM item WHERE id = $1", 1).Scan(&note); err != nil || note != "x" {
		t.Errorf("got %q, %v", note, err)
	}
}

// Guards against a replica that shows records before their age, against a
// status row that counts them as applied, and against one that does not count
// them as stored.
func TestApplyDelay(t *testing.T) {
	a := primary(t)
	b := replicaOf(t, a, "b")
	eventually(t, "replica follows", func() bool { return b.Status().Log == a.Status().Log })
	b.SetApplyDelay(time.Hour)
	c := connect(t, a, "")
	exec(t, c, "CREATE TABLE item (id bigint PRIMARY KEY)")
	eventually(t, "replica stores", func() bool { return b.Status().Log == a.Status().Log })
	time.Sleep(100 * time.Millisecond)
	if got := b.Status().Applied; got != (tracker.Position{Term: 1, Offset: 1}) {
		t.Errorf("replica shows %v", got)
	}
	cb := connect(t, b, "")
	if _, err := cb.Exec(t.Context(), "SELECT id FROM item"); sqlState(err) != "42P01" {
		t.Errorf("read of a record that is not applied: %v", err)
	}
	b.SetApplyDelay(0)
	eventually(t, "replica catches up", func() bool { return b.Status().Applied == a.Status().Log })
	exec(t, cb, "SELECT id FROM item")
}

// Guards against a promotion that accepts writes before all stored records are
// applied, and against a restart that forgets them or applies them early.
func TestPromoteAppliesStored(t *testing.T) {
	a := primary(t)
	cfg := testConfig(t, "b")
	cfg.Follow, cfg.ApplyDelay = a.ReplicationAddr(), time.Hour
	b := start(t, cfg)
	c := connect(t, a, "")
	exec(t, c, "CREATE TABLE item (id bigint PRIMARY KEY)")
	for i := range 600 {
		exec(t, c, "INSERT INTO item (id) VALUES ($1)", i)
	}
	eventually(t, "replica stores", func() bool { return b.Status().Log == a.Status().Log })
	b.Close()
	a.Close()
	b = start(t, cfg)
	if st := b.Status(); st.Log.Offset != 602 || st.Applied.Offset != 1 {
		t.Fatalf("after the restart: %+v", st)
	}
	cb := connect(t, b, "")
	command(t, cb, "SELECT * FROM marigold_group_fence(2, 'x')")
	st := command(t, cb, "SELECT * FROM marigold_group_promote(2, 'x')")
	if st.Role != tracker.RolePrimary || st.Log != (tracker.Position{Term: 2, Offset: 603}) || st.Applied != st.Log {
		t.Errorf("promote: %+v", st)
	}
	if _, err := cb.Exec(t.Context(), "INSERT INTO item (id) VALUES (599)"); sqlState(err) != "23505" {
		t.Errorf("write over a stored row: %v", err)
	}
}

// Guards against a truncation of records that are not applied that leaves them
// in the log, keeps client connections or rebuilds rows without need.
func TestTruncationOfStored(t *testing.T) {
	a := primary(t)
	b, c := replicaOf(t, a, "b"), replicaOf(t, a, "c")
	eventually(t, "replicas follow", func() bool { return b.Status().Applied == a.Status().Log && c.Status().Applied == a.Status().Log })
	b.SetApplyDelay(time.Hour)
	c.SetFrozen(true)
	time.Sleep(50 * time.Millisecond)
	exec(t, connect(t, a, ""), "CREATE TABLE item (id bigint PRIMARY KEY)")
	eventually(t, "b stores", func() bool { return b.Status().Log.Offset == 2 })
	cb := connect(t, b, "")
	rows := b.node.Schema()
	if st, err := c.node.Fence(2, "x"); err != nil || st.Log.Offset != 1 {
		t.Fatalf("%+v, %v", st, err)
	}
	if _, err := c.node.Promote(2, "x"); err != nil {
		t.Fatal(err)
	}
	c.SetFrozen(false)
	command(t, cb, "SELECT * FROM marigold_group_follow(2, 'c', '"+c.ReplicationAddr()+"')")
	eventually(t, "b truncated", func() bool { return b.Status().Log == c.Status().Log })
	if _, err := cb.Exec(t.Context(), "SELECT 1"); err == nil || sqlState(err) != "" {
		t.Errorf("connection survived truncation: %v", err)
	}
	if st := b.Status(); st.Applied.Offset != 1 || st.Lineage.String() != "1:0,2:1" || b.node.Schema() != rows {
		t.Errorf("%+v, rows rebuilt: %v", st, b.node.Schema() != rows)
	}
	b.SetApplyDelay(0)
	eventually(t, "b applies", func() bool { return b.Status().Applied == c.Status().Log })
}

// Guards against a primary of an old term that goes on after a follower told
// it of a newer one.
func TestPrimaryLearnsOfHigherTerm(t *testing.T) {
	a := primary(t)
	b := replicaOf(t, a, "b")
	if _, err := b.node.Fence(4, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := b.node.Follow(4, "a", a.ReplicationAddr(), closed); err != nil {
		t.Fatal(err)
	}
	eventually(t, "old primary fenced", func() bool {
		st := a.Status()
		return st.Term == 4 && st.Role == tracker.RoleFenced
	})
}
