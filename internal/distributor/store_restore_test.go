package distributor

import (
	"context"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/storer"
)

// storeKeys is the prefix of everything that operators write.
const storeKeys = "/marigold/"

// restore makes the store's content what it was, as a restore from a snapshot does.
func (c *cluster) restore(snapshot []storer.Entry) {
	c.t.Helper()
	store := c.storeClient(nil)
	present, _, err := store.List(context.Background(), storeKeys)
	if err != nil {
		c.t.Fatal(err)
	}
	kept := map[string]bool{}
	tx := storer.Transaction{}
	for _, e := range snapshot {
		kept[e.Key] = true
		tx = tx.WithPut(e.Key, e.Value)
	}
	for _, e := range present {
		if !kept[e.Key] {
			tx = tx.WithDelete(e.Key)
		}
	}
	if _, err := store.Commit(context.Background(), tx); err != nil {
		c.t.Fatal(err)
	}
}

// storedRevision returns the active revision of a part in the store; 0 if there is none.
func (c *cluster) storedRevision(part string) uint64 {
	c.t.Helper()
	list, err := c.ops.Status(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	for _, s := range list {
		if s.Part == part && s.Active != nil {
			return s.Active.Revision
		}
	}
	return 0
}

// restartStore ends all watches, as a restore does, and the instances read the store again.
func (c *cluster) restartStore() {
	c.platform.SetDown(true)
	time.Sleep(50 * time.Millisecond)
	c.platform.SetDown(false)
}

// Guards against an approved revision that is not in force because the store was restored from a
// snapshot, which lost the record that its number had been used.
func TestRevisionAfterStoreRestore(t *testing.T) {
	for _, tc := range []struct {
		name string
		// lose makes changes that the snapshot lacks, and returns the newest revisions by part.
		lose func(c *cluster) map[string]uint64
	}{
		{"one revision", func(c *cluster) map[string]uint64 {
			return map[string]uint64{"a": c.activate("a", content("a", "a", 30)).Revision}
		}},
		{"several revisions and a new part", func(c *cluster) map[string]uint64 {
			c.activate("a", content("a", "a", 30))
			return map[string]uint64{
				"a": c.activate("a", content("a", "a", 31)).Revision,
				"b": c.activate("b", content("b", "b", 5)).Revision,
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t)
			c.activateGenesis()
			c.activate("a", content("a", "a", 20))
			c.start("z1", "z2")
			snapshot, _, err := c.storeClient(nil).List(context.Background(), storeKeys)
			if err != nil {
				t.Fatal(err)
			}
			lost := tc.lose(c)
			for part, revision := range lost {
				c.wait("the revisions that get lost", func(n *node) bool { return n.revision(part) == revision })
			}
			c.restore(snapshot)
			c.restartStore()
			for part, revision := range lost {
				c.wait("the lost revision is in the store", func(*node) bool { return c.storedRevision(part) == revision })
			}
			next := c.activate("a", content("a", "a", 40))
			if next.Revision <= lost["a"] {
				t.Errorf("revision %d is given out again, the lost one is %d", next.Revision, lost["a"])
			}
			c.wait("the next revision", func(n *node) bool {
				g, ok := n.Catalog().Group("a")
				return ok && g.Servers[0].ConnectionLimit == 40 && n.revision("a") == next.Revision
			})
		})
	}
}

// Guards against an instance that replaces what the store has: only earlier revisions are replaced.
func TestReinstateLeavesLaterRevisions(t *testing.T) {
	c := newCluster(t)
	c.activateGenesis()
	first := c.activate("a", content("a", "a", 20))
	second := c.activate("a", content("a", "a", 30))
	for _, tc := range []struct {
		name string
		e    approver.Envelope
	}{{"earlier", first}, {"the same", second}} {
		if done, err := approver.Reinstate(context.Background(), c.storeClient(nil), tc.e); done || err != nil {
			t.Errorf("%s: written %v, %v", tc.name, done, err)
		}
	}
}
