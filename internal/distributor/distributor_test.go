package distributor

import (
	"context"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/storer"
)

// TestSpread guards against instances that a new revision does not reach, and
// against watches of the store by instances other than the zone watchers.
func TestSpread(t *testing.T) {
	for _, mode := range []Mode{ZoneWatcher, EveryInstanceWatches} {
		t.Run(string(mode), func(t *testing.T) {
			c := newCluster(t)
			c.mode = mode
			c.interval = time.Hour // Pushes alone must reach everyone.
			c.activateGenesis()
			c.activate("a", content("a", "a", 20))
			c.start("z1", "z1", "z2", "z2", "z3", "z3", "z3")
			c.wait("ready", func(n *node) bool { ready, _ := n.Ready(); return ready })
			for limit := 21; limit < 26; limit++ {
				e := c.activate("a", content("a", "a", limit))
				c.wait("new revision", func(n *node) bool { return n.revision("a") == e.Revision })
			}
			for _, n := range c.nodes {
				if g, ok := n.Catalog().Group("a"); !ok || g.Servers[0].ConnectionLimit != 25 {
					t.Errorf("%s has another catalog", n.directory.self.Instance)
				}
			}
			if open, want := c.platform.Counts().OpenWatches, map[Mode]int{ZoneWatcher: 3, EveryInstanceWatches: 7}[mode]; open != want {
				t.Errorf("%d watches, want %d", open, want)
			}
		})
	}
}

// TestForwardedPush guards against a new revision that reaches only one member
// of a zone without access to the store.
func TestForwardedPush(t *testing.T) {
	c := newCluster(t)
	c.isolated = "z2"
	c.interval = time.Hour
	c.activateGenesis()
	c.activate("a", content("a", "a", 20))
	c.start("z1", "z2", "z2", "z2", "z2")
	c.wait("ready", func(n *node) bool { ready, _ := n.Ready(); return ready })
	e := c.activate("a", content("a", "a", 30))
	c.wait("new revision", func(n *node) bool { return n.revision("a") == e.Revision })
}

// TestWatchDutyMoves guards against changes that are lost when the zone watcher
// stops.
func TestWatchDutyMoves(t *testing.T) {
	c := newCluster(t)
	c.activateGenesis()
	c.activate("a", content("a", "a", 20))
	c.start("z1", "z1", "z1")
	c.wait("ready", func(n *node) bool { ready, _ := n.Ready(); return ready })
	c.nodes[0].Close()
	c.nodes = c.nodes[1:]
	for _, n := range c.nodes {
		n.directory.set(c.members[1:])
	}
	e := c.activate("a", content("a", "a", 30))
	c.wait("new revision", func(n *node) bool { return n.revision("a") == e.Revision })
}

// TestFreshInstanceWithStoreDown guards against an instance that serves
// without a verified configuration, and one that cannot start without the store.
func TestFreshInstanceWithStoreDown(t *testing.T) {
	c := newCluster(t)
	c.activateGenesis()
	owners := append([]approver.Owner(nil), c.genesis...)
	extra, _ := approver.GenerateSigner()
	owners[0].Keys = append(owners[0].Keys, extra.Key())
	c.activate("owners", approver.FormatOwners(owners))
	e := c.activate("a", content("a", "a", 20))
	c.start("z1")
	c.wait("ready", func(n *node) bool { ready, _ := n.Ready(); return ready })
	c.platform.SetDown(true)
	c.start("z2")
	c.wait("ready from a peer", func(n *node) bool { ready, _ := n.Ready(); return ready && n.revision("a") == e.Revision })

	// An instance without store and peers is not ready, says why and is stale.
	lone := newCluster(t)
	lone.platform.SetDown(true)
	lone.start("z1")
	if ready, reason := lone.nodes[0].Ready(); ready || reason == "" {
		t.Errorf("got ready %v, reason %q", ready, reason)
	}
	lone.wait("stale", func(n *node) bool { return n.Stale() })
	if len(lone.nodes[0].Catalog().Groups()) != 0 {
		t.Error("the catalog has groups without a verified envelope")
	}
	// An instance that reaches peers but not the store is not stale.
	time.Sleep(1200 * time.Millisecond)
	if c.nodes[0].Stale() {
		t.Error("stale although a peer answers")
	}
}

// TestFreshInstanceDoesNotPush guards against a restart that sends the whole
// configuration to every other instance.
func TestFreshInstanceDoesNotPush(t *testing.T) {
	c := newCluster(t)
	c.activateGenesis()
	c.activate("a", content("a", "a", 20))
	c.start("z1", "z1", "z2")
	c.wait("ready", func(n *node) bool { ready, _ := n.Ready(); return ready })
	c.start("z1")
	c.wait("ready", func(n *node) bool { ready, _ := n.Ready(); return ready })
	for _, n := range c.nodes {
		if count := n.counters.pushes.Count(); count != 0 {
			t.Errorf("%s pushed %d times", n.directory.self.Instance, count)
		}
	}
}

// TestSplitBySize guards against pushes above drpc's message limit and against
// envelopes that are left out.
func TestSplitBySize(t *testing.T) {
	var envelopes []*decodedEnvelope
	for range 5 {
		envelopes = append(envelopes, &decodedEnvelope{encoded: make([]byte, maxBatchBytes*2/5)})
	}
	batches := splitBySize(envelopes)
	if len(batches) != 3 || len(batches[0]) != 2 || len(batches[2]) != 1 {
		t.Errorf("got %d parts", len(batches))
	}
}

// TestForgedStoreValue guards against writes by somebody with access to the
// store: an unsigned change, an old revision under a new number, and the
// deletion of a part.
func TestForgedStoreValue(t *testing.T) {
	c := newCluster(t)
	c.activateGenesis()
	old := c.activate("a", content("a", "a", 20))
	e := c.activate("a", content("a", "a", 30))
	c.start("z1", "z2")
	c.wait("ready", func(n *node) bool { return n.revision("a") == e.Revision })
	// An instance may be ready by its first read, and sees only the last of the values that
	// are written before it watches.
	c.wait("watches", func(*node) bool { return c.platform.Counts().OpenWatches == 2 })
	replay := old
	replay.Revision = 99
	forged := e
	forged.Revision, forged.Content = 100, []byte(content("a", "a", 40))
	for _, value := range [][]byte{replay.Encode(), forged.Encode(), []byte("garbage"), old.Encode()} {
		c.putInStore("a", value)
	}
	if _, err := c.storeClient(nil).Commit(context.Background(), storer.Transaction{}.WithDelete(approver.CurrentPrefix+"a")); err != nil {
		t.Fatal(err)
	}
	next := c.putNextRevision(e, 31)
	c.wait("next verified revision", func(n *node) bool { return n.revision("a") == next.Revision })
	if n := c.nodes[0].events("envelope_refused"); n < 3 {
		t.Errorf("%d refusals recorded, want 3", n)
	}
}

func (c *cluster) putInStore(part string, value []byte) {
	c.t.Helper()
	tx := storer.Transaction{}.WithPut(approver.CurrentPrefix+part, value)
	if _, err := c.storeClient(nil).Commit(context.Background(), tx); err != nil {
		c.t.Fatal(err)
	}
}

// putNextRevision signs the revision after e with both keys and writes it to
// the store without a proposal.
func (c *cluster) putNextRevision(e approver.Envelope, limit int) approver.Envelope {
	next := c.sign(approver.Envelope{
		Part: e.Part, Revision: e.Revision + 1, Predecessor: e.Hash(), OwnersRevision: e.OwnersRevision,
		Content: []byte(content(e.Part, e.Part, limit)),
	})
	c.putInStore(e.Part, next.Encode())
	return next
}

// TestHostilePeer guards against a peer that pushes an older or a forged
// revision, or a second verified envelope with the revision of the active one.
func TestHostilePeer(t *testing.T) {
	c := newCluster(t)
	c.activateGenesis()
	old := c.activate("a", content("a", "a", 20))
	e := c.activate("a", content("a", "a", 30))
	c.start("z1")
	n := c.nodes[0]
	c.wait("ready", func(n *node) bool { return n.revision("a") == e.Revision })
	forged := e
	forged.Revision++
	twin := c.sign(approver.Envelope{
		Part: "a", Revision: e.Revision, Predecessor: e.Predecessor, OwnersRevision: e.OwnersRevision, Content: []byte(content("a", "a", 40)),
	})
	req := &wire.PushRequest{Envelopes: [][]byte{old.Encode(), forged.Encode(), twin.Encode(), {1, 2}}, AgesMs: []uint64{1 << 63}}
	for range 2 {
		if _, err := (&service{n.Distributor}).Push(context.Background(), req); err != nil {
			t.Fatal(err)
		}
	}
	if g, _ := n.Catalog().Group("a"); n.revision("a") != e.Revision || g.Servers[0].ConnectionLimit != 30 {
		t.Errorf("revision %d with limit %d is active", n.revision("a"), g.Servers[0].ConnectionLimit)
	}
	if n.events("manifest_conflict") != 1 || n.events("envelope_refused") != 2 {
		t.Errorf("got %d conflicts and %d refusals, want 1 and 2", n.events("manifest_conflict"), n.events("envelope_refused"))
	}
}

// TestStoreWithOldData guards against a part that returns to an earlier revision
// when the store answers with an earlier state.
func TestStoreWithOldData(t *testing.T) {
	c := newCluster(t)
	c.activateGenesis()
	c.activate("a", content("a", "a", 20))
	c.platform.SetStale(true)
	e := c.putUnseenRevision(t)
	c.start("z1")
	n := c.nodes[0]
	if _, err := (&service{n.Distributor}).Push(context.Background(), &wire.PushRequest{Envelopes: [][]byte{e.Encode()}}); err != nil {
		t.Fatal(err)
	}
	c.wait("both revisions were received", func(n *node) bool { return n.revision("a") == e.Revision })
	for range 3 {
		if _, err := n.readStore(context.Background()); err != nil {
			t.Fatal(err)
		}
		if got := n.revision("a"); got != e.Revision {
			t.Fatalf("revision %d is active, want %d", got, e.Revision)
		}
	}
}

// putUnseenRevision writes a verified next revision, which the stale store does
// not show, and returns it.
func (c *cluster) putUnseenRevision(t *testing.T) approver.Envelope {
	t.Helper()
	entry, ok, err := c.storeClient(nil).Get(context.Background(), approver.CurrentPrefix+"a")
	if err != nil || !ok {
		t.Fatal(err)
	}
	e, err := approver.Decode(entry.Value)
	if err != nil {
		t.Fatal(err)
	}
	return c.putNextRevision(e, 33)
}

// TestBrokenPartLeavesOthers guards against one invalid part that deactivates
// the others.
func TestBrokenPartLeavesOthers(t *testing.T) {
	c := newCluster(t)
	c.activateGenesis()
	a := c.activate("a", content("a", "a", 20))
	c.start("z1")
	c.wait("ready", func(n *node) bool { return n.revision("a") == a.Revision })
	broken := c.sign(approver.Envelope{Part: "a", Revision: 9, OwnersRevision: 1, Content: []byte("part = 1")})
	clash := c.sign(approver.Envelope{Part: "b", Revision: 1, OwnersRevision: 1, Content: []byte(content("b", "a", 20))})
	c.putInStore("a", broken.Encode())
	c.putInStore("b", clash.Encode())
	c.putNextRevision(approver.Envelope{Part: "c", OwnersRevision: 1}, 20)
	c.wait("part c", func(n *node) bool {
		return n.revision("c") == 1 && n.revision("a") == a.Revision && n.revision("b") == 0
	})
	if n := c.nodes[0].events("manifest_out_of_force"); n != 2 {
		t.Errorf("%d alarms, want 2", n)
	}
	// The name conflict ends when part a no longer uses the name.
	c.putInStore("a", c.sign(approver.Envelope{Part: "a", Revision: 10, OwnersRevision: 1, Content: []byte(content("a", "x", 20))}).Encode())
	c.wait("part b", func(n *node) bool { return n.revision("a") == 10 && n.revision("b") == 1 })
}

// silentStore is a store whose watch never reports a change.
type silentStore struct{ storer.Store }

func (s silentStore) Watch(ctx context.Context, _ string, _ int64) (*storer.Watch, error) {
	return storer.NewWatch(ctx, func(ctx context.Context, _ func(storer.Batch) error) error {
		<-ctx.Done()
		return ctx.Err()
	}), nil
}

// TestSilentWatch guards against a watch that stays open and reports nothing.
func TestSilentWatch(t *testing.T) {
	c := newCluster(t)
	c.activateGenesis()
	c.activate("a", content("a", "a", 20))
	c.start("z1")
	c.wait("ready", func(n *node) bool { ready, _ := n.Ready(); return ready })
	n := c.nodes[0]
	n.Close()
	n.store = silentStore{n.store}
	d, err := New(Config{Genesis: c.genesis, Store: n.store, Directory: n.directory, Dialer: c.pool, Log: discardLog(), PollInterval: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	n.Distributor = d
	c.wait("ready", func(n *node) bool { ready, _ := n.Ready(); return ready })
	e := c.activate("a", content("a", "a", 30))
	c.wait("missed change", func(n *node) bool { return n.revision("a") == e.Revision })
}

// TestNewRefusesBadGenesis guards against an instance that trusts a single owner.
func TestNewRefusesBadGenesis(t *testing.T) {
	c := newCluster(t)
	if _, err := New(Config{Genesis: c.genesis[:1]}); err == nil {
		t.Error("a genesis with one owner is accepted")
	}
}
