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
	// Catalog provides the groups with their servers and connection limits.
	Catalog checker.CatalogSource
	// Directory provides the members and the monitor of each group.
	Directory enroller.Directory
	// Count returns the number of client connections that the server itself
	// reported last, and false if it is unknown. It may be nil.
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
	// members is the current number of members. recentCounts are the numbers
	// that applied within the last grant duration.
	members      int
	recentCounts []memberCount
	groups       map[string]*groupAllocation
}

var _ pooler.Granter = (*Divider)(nil)

// memberCount is a former number of members and the time until which grants
// based on it may be in force.
type memberCount struct {
	members int
	until   time.Time
}

// groupAllocation is the state of one group at its monitor.
type groupAllocation struct {
	// monitorSince is the time from which this instance has been the monitor.
	monitorSince time.Time
	servers      map[string]*serverAllocation
	// lamports hold the highest Lamport time of each instance's requests. An
	// older request that arrives late must not replace a later report.
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
		groups:  make(map[string]*groupAllocation),
		// A process that has just started does not know the members yet and must
		// not grant as if it were the only one.
		recentCounts: []memberCount{{members: pooler.MaxUngrantedInstances, until: cfg.Clock.Now().Add(pooler.GrantDuration)}},
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

// watchMembers updates the number of members and the monitored groups on every
// membership change, also when no requests arrive.
func (d *Divider) watchMembers() {
	for {
		changed := d.cfg.Directory.Changed()
		d.mu.Lock()
		d.updateMembers(d.cfg.Clock.Now())
		d.mu.Unlock()
		select {
		case <-d.ctx.Done():
			return
		case <-changed:
		}
	}
}

// updateMembers records the number of members and deletes the state of groups
// that another instance monitors. The caller holds mu.
func (d *Divider) updateMembers(now time.Time) {
	n := max(len(d.cfg.Directory.Members()), 1)
	if n != d.members {
		d.recentCounts = append(d.recentCounts, memberCount{members: d.members, until: now.Add(pooler.GrantDuration)})
		d.members = n
	}
	d.recentCounts = slices.DeleteFunc(d.recentCounts, func(s memberCount) bool { return !now.Before(s.until) })
	for group := range d.groups {
		if !d.isMonitor(group) {
			delete(d.groups, group)
		}
	}
}

// shareCount returns the number of guaranteed shares. Grants based on a larger
// number of members stay in force for one grant duration, so the highest recent
// number applies. The caller holds mu.
func (d *Divider) shareCount() int {
	n := max(d.members, 1)
	for _, s := range d.recentCounts {
		n = max(n, s.members)
	}
	return n
}

func (d *Divider) isMonitor(group string) bool {
	holder := d.cfg.Directory.Holder(pooler.MonitorRole(group))
	return holder.Instance == d.stamper.Instance
}

// Grant answers a report with one grant per server. If this instance is not the
// monitor of the group, or a later report of the same instance was answered
// before, the response has no grants and IsMonitor is false. The method has the
// signature of wire.DRPCGroupsServer.Grant.
func (d *Divider) Grant(_ context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	d.stamper.Observe(req.GetHeader())
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	d.updateMembers(now)
	resp := &wire.GrantResponse{Header: d.stamper.Header()}
	group, known := d.cfg.Catalog.Catalog().Group(req.GetGroup())
	if !known || !d.isMonitor(group.Name) {
		return resp, nil
	}
	g := d.allocationOf(group.Name, now)
	instance, lamport := req.GetHeader().GetInstance(), req.GetHeader().GetLamport()
	if lamport != 0 && lamport <= g.lamports[instance] {
		return resp, nil
	}
	g.lamports[instance] = lamport
	resp.IsMonitor = true
	resp.DurationMs = uint32(pooler.GrantDuration.Milliseconds())
	for _, demand := range req.GetDemands() {
		s, ok := group.TrackerGroup().Server(demand.GetServer())
		if !ok {
			continue
		}
		resp.Grants = append(resp.Grants, &wire.ServerGrant{
			Server:      s.Name,
			Connections: uint32(d.grant(g, group.Name, s.Name, s.ConnectionLimit, instance, demand, now)),
		})
	}
	return resp, nil
}

func (d *Divider) allocationOf(group string, now time.Time) *groupAllocation {
	g, ok := d.groups[group]
	if !ok {
		g = &groupAllocation{monitorSince: now, servers: make(map[string]*serverAllocation), lamports: make(map[string]uint64)}
		d.groups[group] = g
		d.cfg.Recorder.Record("divider", "began", group)
	}
	return g
}

func (d *Divider) grant(g *groupAllocation, group, server string, limit int, instance string, demand *wire.ServerDemand, now time.Time) int {
	a, ok := g.servers[server]
	if !ok {
		a = &serverAllocation{instances: make(map[string]*instanceAllocation)}
		g.servers[server] = a
	}
	count, counted := d.cfg.Count(group, server)
	members := d.cfg.Directory.Members()
	live := make(map[string]bool, len(members))
	for _, m := range members {
		live[m.Instance] = true
	}
	live[instance] = true
	c := conditions{
		capacity:             max(limit-pooler.ReservedConnections, 0),
		ungranted:            pooler.UngrantedConnections(limit),
		shares:               max(d.shareCount(), len(live)),
		live:                 live,
		serverCount:          count,
		serverCountKnown:     counted,
		earlierGrantsExpired: now.Sub(g.monitorSince) >= pooler.GrantDuration,
	}
	return a.grant(c, instance, demand, now)
}
