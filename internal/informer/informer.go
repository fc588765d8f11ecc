package informer

import (
	"bytes"
	"context"
	"crypto/sha256"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/prover"
	"marigoldhub.example/hub/internal/sharer"
	"marigoldhub.example/hub/internal/storer"
)

// retryPause is the default mean pause after a failed call to the store. Pauses
// are randomized by half so that instances do not return together.
const retryPause = 300 * time.Millisecond

// completeJitter spreads the lists by which instances that started together know all
// servers.
const completeJitter = 500 * time.Millisecond

// Informer follows the configuration and the servers in the store.
type Informer struct {
	cfg     Config
	state   atomic.Pointer[State]
	current atomic.Pointer[Current]

	mu            sync.Mutex
	configuration *Configuration
	decoded       decoded
	proofs        prover.Ledger
	// checked is what the last check of the configuration found.
	checked check
	servers map[string]Server
	// entries are those of the last list, by key.
	entries map[string]decodedEntry
	// versions has the newest known entry of each server, removed ones included.
	versions map[string]entryVersion
	rejected *rejections
	list     List
	order    *storer.ListOrder
	listed   bool
	// firstListed is when the first list was accepted since one failed. complete is set
	// when a linearizable list has been read long enough after that.
	firstListed time.Time
	complete    bool
	changed     chan struct{}
	// refreshes are the lists of Refresh.
	refreshes *sharer.Sharer[struct{}, struct{}]

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// New starts following the store.
func New(cfg Config) *Informer {
	if cfg.IsReader == nil {
		cfg.IsReader = func() bool { return true }
	}
	if cfg.RetryPause == nil {
		cfg.RetryPause = func() time.Duration { return retryPause }
	}
	if cfg.RootCheckInterval == nil {
		cfg.RootCheckInterval = func() time.Duration { return 0 }
	}
	if cfg.IsProofRoot == nil {
		cfg.IsProofRoot = func() bool { return false }
	}
	if cfg.OnStaleChange == nil {
		cfg.OnStaleChange = func() {}
	}
	if cfg.AskPeers == nil {
		cfg.AskPeers = func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Informer{
		cfg:       cfg,
		servers:   map[string]Server{},
		entries:   map[string]decodedEntry{},
		versions:  map[string]entryVersion{},
		rejected:  newRejections(cfg.Log),
		order:     storer.NewListOrder(cfg.Schema.ServerPrefix, cfg.Clock, cfg.Log),
		changed:   make(chan struct{}),
		refreshes: sharer.New[struct{}, struct{}](cfg.Clock),
		ctx:       ctx,
		cancel:    cancel,
		done:      make(chan struct{}),
	}
	n.state.Store(newState(nil, nil))
	n.current.Store(&Current{})
	var wg sync.WaitGroup
	wg.Go(func() { n.followConfiguration(ctx) })
	wg.Go(func() { n.checkConfiguration(ctx) })
	wg.Go(func() { n.followServers(ctx) })
	if cfg.MaxProofAge > 0 {
		wg.Go(func() { n.renewProof(ctx) })
	}
	go func() {
		wg.Wait()
		close(n.done)
	}()
	return n
}

// State returns the present view.
func (n *Informer) State() *State { return n.state.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (n *Informer) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// HasServerList reports whether the servers have been listed at least once.
func (n *Informer) HasServerList() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listed
}

// KnowsAllServers reports whether the view has every server that is not gone. The
// entries of running servers may be missing for some time after an outage of the store,
// which an instance that has just started knows nothing of. It knows all servers once it
// has listed them again [Config.RemoveAfter] after its first list.
func (n *Informer) KnowsAllServers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.complete
}

// recordFailedList restarts the time after which the view is complete: the store may be
// away again, so that entries return later.
func (n *Informer) recordFailedList() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.firstListed = time.Time{}
}

// completeIn returns how long after now the view may become complete; 0 if it is or may
// become so now.
func (n *Informer) completeIn(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.complete {
		return 0
	}
	return max(n.firstListed.Add(n.cfg.RemoveAfter).Sub(now), 0)
}

// List returns the last list of the servers, as instances exchange it.
func (n *Informer) List() List {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.list
}

// OfferList adopts a list that another instance read if its store revision is
// higher than that of the last one. It reports whether a known server has begun to drain,
// which other instances must learn.
func (n *Informer) OfferList(l List) (leaving bool) {
	return l.Revision > n.List().Revision && n.apply(l.Entries, l.Revision, l.ReadAt)
}

// Done returns a channel that is closed when the informer has stopped.
func (n *Informer) Done() <-chan struct{} { return n.done }

// Close stops following the store.
func (n *Informer) Close() {
	n.cancel()
	<-n.done
}

// Offer adopts an encoded configuration if its version is higher than that of the
// present one, and reports whether it did. Source names its origin in
// log lines.
func (n *Informer) Offer(raw []byte, source string) bool {
	_, adopted := n.offer(raw, source)
	return adopted
}

// OfferPacked is [Informer.Offer] for the packed form that another instance sent.
func (n *Informer) OfferPacked(packed []byte, source string) bool {
	raw, err := unpack(packed)
	if err != nil {
		n.cfg.Log.WithError(err).WithField("source", source).Warn("informer: configuration cannot be read; the present one stays")
		return false
	}
	_, adopted := n.offerWith(raw, packed, source)
	return adopted
}

// decoded is the digest of a configuration that was decoded, and its version.
type decoded struct {
	digest  [sha256.Size]byte
	version int64
}

// offer returns the version as well; 0 if the configuration cannot be read. It decodes nothing
// if the configuration is the one that was decoded last: readers read the same one again and
// again.
func (n *Informer) offer(raw []byte, source string) (version int64, adopted bool) {
	return n.offerWith(raw, nil, source)
}

// offerWith is offer with the packed form if there is one.
func (n *Informer) offerWith(raw, packed []byte, source string) (version int64, adopted bool) {
	digest := sha256.Sum256(raw)
	n.mu.Lock()
	last := n.decoded
	n.mu.Unlock()
	if last.version > 0 && digest == last.digest {
		return last.version, false
	}
	c, err := n.cfg.Schema.DecodeConfiguration(raw)
	if err != nil {
		n.cfg.Log.WithError(err).WithField("source", source).Warn("informer: configuration cannot be read; the present one stays")
		return 0, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.configuration != nil && c.Version <= n.configuration.Version {
		n.decoded = decoded{digest, c.Version}
		return c.Version, false
	}
	if c.Raw == nil {
		c.Raw = bytes.Clone(raw)
	}
	if packed != nil && bytes.Equal(c.Raw, raw) {
		c.Packed = packed
	} else if c.Packed, err = pack(c.Raw); err != nil {
		n.cfg.Log.WithError(err).Warn("informer: configuration cannot be passed on to other instances")
	}
	fields := logrus.Fields{"version": c.Version, "source": source, "routes": len(c.Routes)}
	addTeamChanges(fields, n.configuration, c)
	n.configuration, n.decoded = c, decoded{digest, c.Version}
	n.proofs.ObserveVersion(c.Version)
	n.publish()
	n.cfg.Log.WithFields(fields).Info("informer: configuration is in force")
	return c.Version, true
}

// publish makes the present state visible to callers of State. The caller holds mu.
func (n *Informer) publish() {
	// Who sees the state must also see whether callers need keys.
	n.publishCurrent()
	n.state.Store(newState(n.configuration, n.servers))
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Informer) followConfiguration(ctx context.Context) {
	for ctx.Err() == nil {
		follow := n.watchConfiguration
		switch {
		case n.cfg.IsReader():
		case n.State().HasConfiguration():
			follow = n.pollConfiguration
		default:
			follow = n.awaitConfiguration
		}
		if err := follow(ctx); err != nil && ctx.Err() == nil {
			n.cfg.Log.WithError(err).Debug("informer: following the configuration failed")
			n.pauseRetry(ctx)
		}
	}
}

// watchConfiguration reads the configuration and watches it for changes while this
// instance is a reader.
func (n *Informer) watchConfiguration(ctx context.Context) error {
	revision, adopted, err := n.readConfiguration(ctx, "store")
	if err != nil {
		return err
	}
	if !n.cfg.IsReader() {
		return nil
	}
	if adopted {
		go n.cfg.OnChange()
	}
	w, err := n.cfg.Store.Watch(ctx, n.cfg.Schema.ConfigurationPrefix, revision+1)
	if err != nil {
		return err
	}
	defer w.Close()
	for batch := range w.Batches() {
		for _, c := range batch.Changes {
			if !c.Deleted && c.Entry.Key == n.cfg.Schema.ConfigurationKey {
				if n.Offer(c.Entry.Value, "watch") && n.cfg.IsReader() && ctx.Err() == nil {
					go n.cfg.OnChange()
				}
			}
		}
		if !n.cfg.IsReader() {
			return nil
		}
	}
	return w.Err()
}

// initialPollInterval is the mean pause between two reads by an instance that has no
// configuration and is no reader.
const initialPollInterval = 700 * time.Millisecond

// awaitConfiguration reads the store now and then until there is a configuration, from there or
// from another instance, or this instance is a reader.
func (n *Informer) awaitConfiguration(ctx context.Context) error {
	var due time.Time
	for ctx.Err() == nil && !n.cfg.IsReader() && !n.State().HasConfiguration() {
		if wait := n.cfg.Clock.Until(due); wait > 0 {
			n.pause(ctx, min(wait, awaitStep))
			continue
		}
		if _, _, err := n.readConfiguration(ctx, "store"); err != nil {
			return err
		}
		due = n.cfg.Clock.Now().Add(initialPollInterval*3/4 + rand.N(initialPollInterval/2))
	}
	return nil
}

// awaitStep is the interval at which an instance without a configuration checks whether it has
// received one or has become a reader. A check costs no call.
const awaitStep = 20 * time.Millisecond

// pollConfiguration reads the configuration by stale reads, which the store charges least
// for, while this instance is no reader. Readers tell it of changes sooner, and their proofs
// show that there is none: it reads only when the newest proof is as old as the interval.
func (n *Informer) pollConfiguration(ctx context.Context) error {
	due := n.cfg.Clock.Now()
	for ctx.Err() == nil && !n.cfg.IsReader() {
		interval := n.cfg.StaleInterval
		due = due.Add(interval*3/4 + rand.N(interval/2))
		n.pauseUntilUnproved(ctx, due, interval)
		if n.cfg.IsReader() {
			return nil
		}
		if err := n.readStale(ctx); err != nil {
			return err
		}
		due = n.cfg.Clock.Now()
	}
	return nil
}

// pauseUntilUnproved returns at the time due, or later when the newest proof has the age, or
// when this instance is a reader.
func (n *Informer) pauseUntilUnproved(ctx context.Context, due time.Time, age time.Duration) {
	for ctx.Err() == nil && !n.cfg.IsReader() {
		until := due
		if p := n.Current().Proof; p.At.Add(age).After(until) {
			until = p.At.Add(age)
		}
		wait := n.cfg.Clock.Until(until)
		if wait <= 0 {
			return
		}
		n.pause(ctx, wait)
	}
}

// readStale adopts the configuration of a stale read.
func (n *Informer) readStale(ctx context.Context) error {
	entries, _, err := n.lister(true)(ctx, n.cfg.Schema.ConfigurationKey)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if e.Key == n.cfg.Schema.ConfigurationKey && n.Offer(e.Value, "poll") {
			go n.cfg.OnStaleChange()
		}
	}
	return nil
}

// lister returns the store's List call, or the one for stale reads if stale is
// true and the store has one.
func (n *Informer) lister(stale bool) func(context.Context, string) ([]storer.Entry, int64, error) {
	if s, ok := n.cfg.Store.(storer.StaleLister); ok && stale {
		return s.ListStale
	}
	return n.cfg.Store.List
}

// checkConfiguration checks the configuration now and then if this instance is a reader or
// the root of the proofs. The store may compact its history, and a watch then does not show
// changes that were made before.
func (n *Informer) checkConfiguration(ctx context.Context) {
	checked := n.cfg.Clock.Now()
	jitter := rand.Float64()
	for ctx.Err() == nil {
		interval, isDue := n.nextCheck(checked)
		interval = time.Duration(float64(interval) * (0.75 + jitter/2))
		if wait := interval - n.cfg.Clock.Since(checked); wait > 0 {
			// The role of this instance may change meanwhile.
			n.pause(ctx, min(wait, roleInterval))
			continue
		}
		checked, jitter = n.cfg.Clock.Now(), rand.Float64()
		if !isDue {
			continue
		}
		if adopted, err := n.checkForChange(ctx, "check"); err == nil && adopted && ctx.Err() == nil {
			n.cfg.OnChange()
		}
	}
}

// roleInterval is how often an instance looks whether it has to check the configuration.
const roleInterval = time.Second

// nextCheck returns the mean time from the last check of the configuration to the next one,
// and whether this instance makes it. While another instance, the root, proves that the
// configuration is current, readers check it less often.
func (n *Informer) nextCheck(last time.Time) (interval time.Duration, isDue bool) {
	interval = n.cfg.CheckInterval()
	needsProof := n.NeedsProof()
	root := n.cfg.RootCheckInterval()
	if root > 0 && !needsProof && n.cfg.IsProofRoot() {
		return root, true
	}
	p := n.Current().Proof
	isProvedByOther := root > 0 && p.At.After(last.Add(roleInterval)) && n.cfg.Clock.Since(p.At) < freshProof
	if needsProof || isProvedByOther {
		interval *= provedCheckFactor
	}
	return interval, n.cfg.IsReader()
}

func (n *Informer) followServers(ctx context.Context) {
	// The first lists are linearizable reads. Later ones are spread over instances.
	for i := 0; ctx.Err() == nil; i++ {
		if i == 1 {
			i += rand.N(n.cfg.LinearizableEvery())
		}
		err := n.listServers(ctx, !n.KnowsAllServers() || i%n.cfg.LinearizableEvery() == 0 && n.cfg.IsReader())
		if err != nil || !n.HasServerList() {
			n.pauseRetry(ctx)
			continue
		}
		interval := n.cfg.ListInterval()
		wait := interval*3/4 + rand.N(interval/2)
		if d := n.completeIn(n.cfg.Clock.Now()); d > 0 {
			wait = min(wait, d+rand.N(completeJitter))
		}
		n.pause(ctx, wait)
	}
}

func (n *Informer) listServers(ctx context.Context, linearizable bool) error {
	began := n.cfg.Clock.Now()
	entries, revision, err := n.lister(!linearizable)(ctx, n.cfg.Schema.ServerPrefix)
	if err != nil {
		n.recordFailedList()
		return errors.Wrap(err, "list servers")
	}
	n.observeEpoch(revision)
	readAt := time.Time{}
	if linearizable {
		readAt = began
	}
	leaving := n.apply(entries, revision, readAt)
	if linearizable {
		n.recordComplete(began)
	}
	switch {
	case leaving && linearizable:
		go n.cfg.OnChange()
	case leaving:
		go n.cfg.OnStaleChange()
	}
	return nil
}

// observeEpoch records the store's epoch for proofs. Only reads of this instance count: a
// wrong epoch in a peer's list would end all proofs.
func (n *Informer) observeEpoch(revision int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.proofs.ObserveEpoch(storer.Epoch(revision), n.cfg.Clock.Now())
}

// recordComplete records that a linearizable list that began at the time was merged.
func (n *Informer) recordComplete(began time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.complete && n.listed && began.Sub(n.firstListed) >= n.cfg.RemoveAfter {
		n.complete = true
		n.cfg.Log.WithFields(logrus.Fields{"servers": len(n.servers), "revision": storer.FormatRevision(n.list.Revision)}).
			Info("informer: all backend servers are known")
	}
}

// apply merges a list. It ignores a list of an older revision than the last one, and
// a first list without servers. An outdated entry of a store that was restored from a copy
// neither changes a server nor brings back one that had gone. ReadAt is as in [List]. It
// reports whether a known server has begun to drain, which other instances must learn.
func (n *Informer) apply(entries []storer.Entry, revision int64, readAt time.Time) (leaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Clock.Now()
	entries, servers := n.decode(entries, now)
	if len(entries) == 0 && !n.listed || !n.order.Accept(revision) {
		return false
	}
	if n.listed && storer.Epoch(revision) > storer.Epoch(n.list.Revision) {
		// The copy from which the store was restored may lack servers that write their
		// entries again.
		n.complete, n.firstListed = false, now
	}
	// A known server that this list is the first to show as draining was not draining before.
	drainingAfter := n.list.ReadAt
	n.list = newList(entries, revision, drainingAfter, now)
	n.observeRead(readAt)
	n.forgetEntries(entries)
	changed := !n.listed
	n.listed = true
	if n.firstListed.IsZero() {
		n.firstListed = now
	}
	seen := map[string]bool{}
	for _, srv := range servers {
		if n.isOutdated(srv, storer.Epoch(revision), now) {
			seen[srv.ID] = n.isPresent(srv.ID)
			continue
		}
		seen[srv.ID] = true
		old, known := n.servers[srv.ID]
		leaving = leaving || known && srv.Draining && !old.Draining
		changed = n.merge(srv, now, drainingAfter) || changed
	}
	var missing []string
	for id, srv := range n.servers {
		if seen[id] {
			continue
		}
		if srv.MissingSince.IsZero() {
			missing = append(missing, srv.Service+"/"+id)
		}
		changed = n.markMissing(srv, now) || changed
	}
	n.logMissing(missing)
	if changed {
		n.publish()
	}
	return leaving
}

// decode returns the entries that name a server, and the servers. Entries of other
// writers are not passed on to other instances: they may be large, and may differ in
// each list.
func (n *Informer) decode(entries []storer.Entry, now time.Time) ([]storer.Entry, []Server) {
	usable := make([]storer.Entry, 0, len(entries))
	servers := make([]Server, 0, len(entries))
	for _, e := range entries {
		srv, err := n.decodeServer(e)
		if err == nil && n.isInPlaceOf(srv) {
			err = errOtherServer
		}
		if err != nil {
			n.rejected.add(e.Key, err, now)
			continue
		}
		usable, servers = append(usable, e), append(servers, srv)
	}
	n.rejected.endList(now)
	return usable, servers
}

// errOtherServer means that an entry describes another server than the one with its id.
var errOtherServer = errors.New("the server with this id has another service or address")

// decodedEntry is a server's entry in the last list, with what it says.
type decodedEntry struct {
	value  []byte
	server Server
}

// decodeServer decodes a server's entry unless it is that of the last list: nearly all are. The
// caller holds mu.
func (n *Informer) decodeServer(e storer.Entry) (Server, error) {
	if last, ok := n.entries[e.Key]; ok && bytes.Equal(last.value, e.Value) {
		return last.server, nil
	}
	srv, err := n.cfg.Schema.DecodeServer(e.Key, e.Value)
	if err == nil {
		n.entries[e.Key] = decodedEntry{e.Value, srv}
	}
	return srv, err
}

// forgetEntries drops the decoded entries that the list lacks. The caller holds mu.
func (n *Informer) forgetEntries(listed []storer.Entry) {
	if len(n.entries) == len(listed) {
		return
	}
	keep := make(map[string]bool, len(listed))
	for _, e := range listed {
		keep[e.Key] = true
	}
	maps.DeleteFunc(n.entries, func(key string, _ decodedEntry) bool { return !keep[key] })
}

// isInPlaceOf reports whether the entry has the id of a known server but cannot be its:
// a server has one service and one address from its start on. The caller holds mu.
func (n *Informer) isInPlaceOf(srv Server) bool {
	known, ok := n.servers[srv.ID]
	return ok && srv.Born <= known.Born && (srv.Service != known.Service || srv.Address != known.Address)
}

// drainingBeforeSeen is how long a server that is draining when it is first seen is
// taken to have been draining. It is longer than a draining server serves, because
// an instance that starts does not know when the server began to drain.
const drainingBeforeSeen = time.Hour

// merge adopts the server's entry and reports whether it differs from the known one.
// DrainingAfter is for a known server that begins to drain.
func (n *Informer) merge(srv Server, now, drainingAfter time.Time) bool {
	old, known := n.servers[srv.ID]
	srv.Since, srv.DrainingSince, srv.DrainingAfter = old.Since, old.DrainingSince, old.DrainingAfter
	if !known || old.Born != srv.Born {
		srv.Since, srv.DrainingSince, srv.DrainingAfter = now, time.Time{}, time.Time{}
	}
	if srv.Draining && srv.DrainingSince.IsZero() {
		srv.DrainingSince, srv.DrainingAfter = now, drainingAfter
		if !known {
			srv.DrainingSince, srv.DrainingAfter = now.Add(-drainingBeforeSeen), time.Time{}
		}
	}
	n.servers[srv.ID] = srv
	if old.Sequence = srv.Sequence; known && old == srv {
		return false
	}
	fields := logrus.Fields{
		"server": srv.ID, "service": srv.Service, "draining": srv.Draining, "role": srv.Role.String(), "born": srv.Born,
		"revision": storer.FormatRevision(n.list.Revision), "changed": differences(old, srv, known),
	}
	if !srv.DrainingAfter.IsZero() {
		fields["draining_at_most"] = now.Sub(srv.DrainingAfter).String()
	}
	if !old.MissingSince.IsZero() {
		fields["missing_for"] = now.Sub(old.MissingSince).String()
	}
	n.cfg.Log.WithFields(fields).Info("informer: backend server changed")
	return true
}

// differences names what differs between two entries of a server.
func differences(old, srv Server, known bool) string {
	if !known {
		return "new"
	}
	var names []string
	for _, d := range []struct {
		name    string
		differs bool
	}{
		{"returned", !old.MissingSince.IsZero()},
		{"born", old.Born != srv.Born},
		{"role", old.Role != srv.Role},
		{"draining", old.Draining != srv.Draining},
		{"service", old.Service != srv.Service},
		{"address", old.Address != srv.Address},
		{"zone", old.Zone != srv.Zone},
		{"slots", old.Slots != srv.Slots},
	} {
		if d.differs {
			names = append(names, d.name)
		}
	}
	return strings.Join(names, ",")
}

// maxLoggedMissing limits the servers in one line about missing entries. All entries are
// missing at once after an outage of the store.
const maxLoggedMissing = 16

// logMissing logs the known servers, as SERVICE/ID, that a list is the first to lack.
func (n *Informer) logMissing(servers []string) {
	if len(servers) == 0 {
		return
	}
	slices.Sort(servers)
	n.cfg.Log.WithFields(logrus.Fields{
		"missing": len(servers), "servers": servers[:min(len(servers), maxLoggedMissing)], "revision": storer.FormatRevision(n.list.Revision),
	}).Info("informer: entries of backend servers are missing")
}

// markMissing records that the list lacks a known server, and removes the server
// after [Config.RemoveAfter]. It reports whether the view changed.
func (n *Informer) markMissing(srv Server, now time.Time) bool {
	if srv.MissingSince.IsZero() {
		srv.MissingSince = now
		n.servers[srv.ID] = srv
		return true
	}
	if now.Sub(srv.MissingSince) < n.cfg.RemoveAfter {
		return false
	}
	delete(n.servers, srv.ID)
	n.recordRemoved(srv.ID, now)
	n.cfg.Log.WithFields(logrus.Fields{"server": srv.ID, "service": srv.Service, "missing": now.Sub(srv.MissingSince).String()}).
		Info("informer: backend server is gone")
	return true
}

func (n *Informer) pauseRetry(ctx context.Context) {
	mean := n.cfg.RetryPause()
	n.pause(ctx, mean/2+rand.N(mean))
}

func (n *Informer) pause(ctx context.Context, d time.Duration) {
	select {
	case <-n.cfg.Clock.After(d):
	case <-ctx.Done():
	}
}
