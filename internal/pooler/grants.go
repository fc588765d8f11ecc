package pooler

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/messenger/wire"
)

const (
	grantInterval = time.Second
	// grantRetryDelay is the pause after a request that brought no grant, and the
	// shortest time between two requests.
	grantRetryDelay = 200 * time.Millisecond
	grantTimeout    = 300 * time.Millisecond
)

// MonitorRole names the role of monitoring a group, for [enroller.Directory].
func MonitorRole(group string) string { return "monitor/" + group }

// requestGrants asks the group's monitor for grants until the group is removed
// or the pool is closed.
func (g *group) requestGrants() {
	for {
		pause := grantInterval - rand.N(grantInterval/10)
		if !g.requestGrant() {
			pause = grantRetryDelay
		}
		if !g.waitBeforeRequest(pause) {
			return
		}
	}
}

// waitBeforeRequest waits for the pause, or less if the demand or the members
// change. It returns false when the loop must end.
func (g *group) waitBeforeRequest(pause time.Duration) bool {
	clock := g.pool.cfg.Clock
	select {
	case <-g.pool.ctx.Done():
		return false
	case <-g.stop:
		return false
	case <-clock.After(min(pause, grantRetryDelay)):
	}
	if pause <= grantRetryDelay {
		return true
	}
	select {
	case <-g.pool.ctx.Done():
		return false
	case <-g.stop:
		return false
	case <-g.wake:
	case <-g.pool.cfg.Directory.Changed():
	case <-clock.After(pause - grantRetryDelay):
	}
	return true
}

// requestGrant makes one request and reports whether a monitor answered it.
func (g *group) requestGrant() bool {
	ctx, cancel := context.WithTimeout(g.pool.ctx, grantTimeout)
	defer cancel()
	sent := g.pool.cfg.Clock.Now()
	resp, err := g.callMonitor(ctx, g.grantRequest(sent))
	if err != nil {
		return false
	}
	// A restarted instance begins with a low Lamport time, and the monitor
	// ignores its requests until it has caught up.
	g.pool.stamper.Observe(resp.GetHeader())
	if !resp.GetIsMonitor() {
		return false
	}
	g.acceptGrant(resp, sent)
	return true
}

func (g *group) callMonitor(ctx context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	directory := g.pool.cfg.Directory
	monitor := directory.Holder(MonitorRole(g.name))
	if monitor.Instance == directory.Self().Instance {
		if g.pool.cfg.Granter == nil {
			return nil, errors.New("this instance has no granter")
		}
		return g.pool.cfg.Granter.Grant(ctx, req)
	}
	conn, err := g.pool.cfg.Dialer.Dial(ctx, monitor.Address)
	if err != nil {
		return nil, err
	}
	return wire.NewDRPCGroupsClient(conn).Grant(ctx, req)
}

func (g *group) grantRequest(now time.Time) *wire.GrantRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	req := &wire.GrantRequest{Header: g.pool.stamper.Header(), Group: g.name}
	for _, b := range g.backends {
		req.Demands = append(req.Demands, &wire.ServerDemand{
			Server:  b.name,
			Open:    uint32(b.occupied()),
			InUse:   uint32(b.inUse()),
			Waiting: uint32(g.queue.countFor(b)),
			Granted: uint32(b.allowance(now)),
		})
	}
	return req
}

// acceptGrant applies a grant. A response is ignored if that of a later request
// was applied before it.
func (g *group) acceptGrant(resp *wire.GrantResponse, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if sent.Before(g.grantSent) {
		return
	}
	g.grantSent = sent
	now := g.pool.cfg.Clock.Now()
	duration := min(time.Duration(resp.GetDurationMs())*time.Millisecond, GrantDuration)
	for _, grant := range resp.GetGrants() {
		b, ok := g.backends[grant.GetServer()]
		if !ok {
			continue
		}
		// The cap keeps a faulty monitor from exceeding the server's limit.
		b.granted = min(int(grant.GetConnections()), max(b.limit-ReservedConnections, 1))
		b.grantExpires = sent.Add(duration)
		b.closeSurplusIdle(now)
		b.serveWaiters(now)
	}
}
