package server

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"marigoldhub.example/hub/internal/tracker"
)

// insertConfirmed inserts a row through s and reports whether a second server
// of the group confirmed it in its term.
func insertConfirmed(ctx context.Context, s *Server, group []*Server, id int64) bool {
	c, err := pgx.Connect(ctx, "postgres://user@"+s.Addr()+"/db?sslmode=disable")
	if err != nil {
		return false
	}
	defer c.Close(context.Background())
	if _, err := c.Exec(ctx, "INSERT INTO item (id) VALUES ($1)", id); err != nil {
		return false
	}
	var term, offset int64
	row := c.QueryRow(ctx, "SELECT * FROM marigold_group_status()")
	if err := row.Scan(nil, nil, nil, nil, &term, &offset, nil, nil, nil, nil); err != nil {
		return false
	}
	at := tracker.Position{Term: uint64(term), Offset: uint64(offset)}
	for end := time.Now().Add(50 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, other := range group {
			st := other.Status()
			if other != s && st.Term == at.Term && st.Log.Term == at.Term && st.Log.Offset >= at.Offset {
				return true
			}
		}
	}
	return false
}

// failOver moves the group to a term: it fences two servers, promotes the one
// with the higher log end and lets the others follow.
func failOver(t *testing.T, group []*Server, term uint64) *Server {
	promoter := fmt.Sprintf("p%d", term)
	order := rand.Perm(len(group))
	var best *Server
	for _, i := range order[:2] {
		st, err := group[i].node.Fence(term, promoter)
		if err != nil || st.Term != term {
			t.Fatalf("fence: %+v, %v", st, err)
		}
		if best == nil || st.Log.Compare(best.Status().Log) > 0 {
			best = group[i]
		}
	}
	if _, err := best.node.Promote(term, promoter); err != nil {
		t.Fatal(err)
	}
	for _, i := range order {
		if group[i] == best {
			continue
		}
		if _, err := group[i].node.Follow(term, best.cfg.Name, best.ReplicationAddr(), closed); err != nil {
			t.Fatal(err)
		}
	}
	return best
}

// Guards against confirmed writes that get lost, and against servers whose
// logs or rows differ after many changes of primary.
func TestConfirmedWritesSurviveFailovers(t *testing.T) {
	t.Run("applied at once", func(t *testing.T) { testFailovers(t, 0) })
	// Nothing that a replica stored in the primary's term may be lost, although
	// no replica applies it before it is promoted.
	t.Run("applied late", func(t *testing.T) { testFailovers(t, time.Hour) })
}

func testFailovers(t *testing.T, delay time.Duration) {
	a := primary(t)
	group := []*Server{a, replicaOf(t, a, "b"), replicaOf(t, a, "c")}
	admin := connect(t, a, "")
	exec(t, admin, "CREATE TABLE item (id bigint PRIMARY KEY)")
	admin.Close(t.Context())
	eventually(t, "replicas follow", func() bool {
		return group[1].Status().Log == a.Status().Log && group[2].Status().Log == a.Status().Log
	})
	for _, s := range group {
		s.SetApplyDelay(delay)
	}
	ctx, stop := context.WithCancel(t.Context())
	var mu sync.Mutex
	confirmed := map[int64]bool{}
	leader := a
	var tasks sync.WaitGroup
	for w := range 4 {
		tasks.Go(func() {
			for id := int64(w); ctx.Err() == nil; id += 4 {
				mu.Lock()
				s := leader
				mu.Unlock()
				if insertConfirmed(ctx, s, group, id) {
					mu.Lock()
					confirmed[id] = true
					mu.Unlock()
				}
			}
		})
	}
	for term := uint64(2); term < 25; term++ {
		time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
		frozen := group[rand.IntN(3)]
		frozen.SetFrozen(rand.IntN(2) == 0)
		best := failOver(t, group, term)
		mu.Lock()
		leader = best
		mu.Unlock()
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
		frozen.SetFrozen(false)
	}
	time.Sleep(100 * time.Millisecond)
	stop()
	tasks.Wait()
	// A statement whose client has gone may still commit.
	eventually(t, "no connections", func() bool {
		for _, s := range group {
			if now, _ := s.Connections(); now > 0 {
				return false
			}
		}
		return true
	})
	eventually(t, "equal logs", func() bool {
		return group[0].Status().Log == group[1].Status().Log && group[1].Status().Log == group[2].Status().Log
	})
	for _, s := range group {
		s.SetApplyDelay(0)
	}
	eventually(t, "all records applied", func() bool {
		for _, s := range group {
			if st := s.Status(); st.Applied != st.Log {
				return false
			}
		}
		return true
	})
	if len(confirmed) == 0 {
		t.Fatal("no write was confirmed")
	}
	t.Logf("%d writes confirmed", len(confirmed))
	for _, s := range group {
		ids, err := pgx.CollectRows(mustQuery(t, connect(t, s, ""), "SELECT id FROM item"), pgx.RowTo[int64])
		if err != nil {
			t.Fatal(err)
		}
		present := map[int64]bool{}
		for _, id := range ids {
			present[id] = true
		}
		for id := range confirmed {
			if !present[id] {
				t.Errorf("%s lost confirmed row %d", s.cfg.Name, id)
			}
		}
		logged := map[int64]bool{}
		for _, r := range s.Records() {
			for _, stmt := range r.Statements {
				if len(stmt.Args) == 1 {
					logged[*stmt.Args[0].Int] = true
				}
			}
		}
		if !maps.Equal(logged, present) {
			t.Errorf("%s has %d rows, the log %d", s.cfg.Name, len(present), len(logged))
		}
		if logText(t, s) != logText(t, group[0]) {
			t.Errorf("logs of %s and %s differ", s.cfg.Name, group[0].cfg.Name)
		}
	}
}

// logText returns the records in the form in which they are stored.
func logText(t *testing.T, s *Server) string {
	t.Helper()
	b, err := json.Marshal(s.Records())
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func mustQuery(t *testing.T, c *pgx.Conn, sql string) pgx.Rows {
	t.Helper()
	rs, err := c.Query(t.Context(), sql)
	if err != nil {
		t.Fatal(err)
	}
	return rs
}
