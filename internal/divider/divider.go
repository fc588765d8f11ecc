package divider

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/recorder"
)

// Config configures a [Divider].
type Config struct {
	Catalog   checker.CatalogSource
	Directory enroller.Directory
	// Count returns the number of client connections that the server itself
	// reported last, and false when it is unknown.
	Count func(group, server string) (count int, ok bool)
	// Clock and Recorder may be nil.
	Clock    clockwork.Clock
	Recorder *recorder.Recorder
}

// Divider serves the Grant call of wire.Groups for the groups that this
// instance monitors. It is safe for concurrent use.
type Divider struct {
	cfg     Config
	stamper messenger.Stamper
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}

	mu sync.Mutex
	// members is the current member count, and past are the counts of the last
	// grant duration.
	members int
	past    []size
	groups  map[string]*ledger
}

var _ pooler.Granter = (*Divider)(nil)

// size is a former number of members and the time until which grants that
// rest on it may be in force.
type size struct {
	members int
	until   time.Time
}

// ledger is what the monitor of one group knows.
type ledger struct {
	// since is the time from which this instance has been the monitor.
	since   time.Time
	servers map[string]*account
	// lamports hold the newest Lamport time of each instance's requests: a
	// request that was overtaken must not replace a later one.
	lamports map[string]uint64
}

// New returns a running divider.
func New(cfg Config) *Divider {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Count == nil {
		cfg.Count = func(string, string) (int, bool) { return 0, false }
	}
	d := &Divider{
		cfg:     cfg,
		stamper: messenger.Stamper{Instance: cfg.Directory.Self().Instance, Recorder: cfg.Recorder},
		done:    make(chan struct{}),
		groups:  make(map[string]*ledger),
		// A process that has just started does not know the members yet and
		// must not take itself for the only one.
		past: []size{{members: pooler.UngrantedShares, until: cfg.Clock.Now().Add(pooler.GrantDuration)}},
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(d.done)
		d.watchMembers()
	}()
	return d
}

// Done is closed when the divider has stopped.
func (d *Divider) Done() <-chan struct{} { return d.done }

// Close stops the divider.
func (d *Divider) Close() error {
	d.cancel()
	<-d.done
	return nil
}

// watchMembers notes member counts and duties also while nobody asks.
func (d *Divider) watchMembers() {
	for {
		changed := d.cfg.Directory.Changed()
		d.mu.Lock()
		d.noteMembers(d.cfg.Clock.Now())
		d.mu.Unlock()
		select {
		case <-d.ctx.Done():
			return
		case <-changed:
		}
	}
}

// noteMembers notes the member count and gives up the ledgers of groups that
// another instance monitors. The caller holds mu.
func (d *Divider) noteMembers(now time.Time) {
	n := max(len(d.cfg.Directory.Members()), 1)
	if n != d.members {
		d.past = append(d.past, size{members: d.members, until: now.Add(pooler.GrantDuration)})
		d.members = n
	}
	d.past = slices.DeleteFunc(d.past, func(s size) bool { return !now.Before(s.until) })
	for group := range d.groups {
		if !d.isMonitor(group) {
			delete(d.groups, group)
		}
	}
}

// shares returns the number of guaranteed shares. Shares given to a larger
// membership stay in force for one grant duration, so the largest recent
// count applies. The caller holds mu.
func (d *Divider) shares() int {
	n := max(d.members, 1)
	for _, s := range d.past {
		n = max(n, s.members)
	}
	return n
}

func (d *Divider) isMonitor(group string) bool {
	holder := d.cfg.Directory.Holder(pooler.MonitorDuty(group))
	return holder.Instance == d.stamper.Instance
}

// Grant answers one request. It has the form of the Grant method of
// wire.DRPCGroupsServer.
func (d *Divider) Grant(_ context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	d.stamper.Observe(req.GetHeader())
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	d.noteMembers(now)
	resp := &wire.GrantResponse{Header: d.stamper.Header()}
	group, known := d.cfg.Catalog.Catalog().Group(req.GetGroup())
	if !known || !d.isMonitor(group.Name) {
		return resp, nil
	}
	l := d.ledger(group.Name, now)
	instance, lamport := req.GetHeader().GetInstance(), req.GetHeader().GetLamport()
	if lamport != 0 && lamport <= l.lamports[instance] {
		return resp, nil
	}
	l.lamports[instance] = lamport
	resp.IsMonitor = true
	resp.DurationMs = uint32(pooler.GrantDuration.Milliseconds())
	for _, demand := range req.GetDemands() {
		s, ok := group.TrackerGroup().Server(demand.GetServer())
		if !ok {
			continue
		}
		resp.Grants = append(resp.Grants, &wire.ServerGrant{
			Server:      s.Name,
			Connections: uint32(d.grant(l, group.Name, s.Name, s.ConnectionLimit, instance, demand, now)),
		})
	}
	return resp, nil
}

func (d *Divider) ledger(group string, now time.Time) *ledger {
	l, ok := d.groups[group]
	if !ok {
		l = &ledger{since: now, servers: make(map[string]*account), lamports: make(map[string]uint64)}
		d.groups[group] = l
		d.cfg.Recorder.Record("divider", "began", group)
	}
	return l
}

func (d *Divider) grant(l *ledger, group, server string, limit int, instance string, demand *wire.ServerDemand, now time.Time) int {
	a, ok := l.servers[server]
	if !ok {
		a = &account{holders: make(map[string]*holder)}
		l.servers[server] = a
	}
	count, counted := d.cfg.Count(group, server)
	members := d.cfg.Directory.Members()
	live := make(map[string]bool, len(members))
	for _, m := range members {
		live[m.Instance] = true
	}
	live[instance] = true
	terms := terms{
		capacity:  max(limit-pooler.ReservedConnections, 0),
		ungranted: pooler.Ungranted(limit),
		shares:    max(d.shares(), len(live)),
		live:      live,
		count:     count,
		counted:   counted,
		settled:   now.Sub(l.since) >= pooler.GrantDuration,
	}
	return a.grant(terms, instance, demand, now)
}
