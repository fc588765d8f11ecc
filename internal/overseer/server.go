package overseer

import (
	"context"
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// Granter serves the Grant call of the Groups service, which divides the
// connections to a server among the instances.
type Granter interface {
	Grant(ctx context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error)
}

// GroupsServer implements the drpc service Groups.
type GroupsServer struct {
	*Overseer
	Granter
}

var _ wire.DRPCGroupsServer = GroupsServer{}

// Confirm serves the Confirm calls of other instances; see [confirmer.Server].
func (o *Overseer) Confirm(ctx context.Context, req *wire.ConfirmRequest) (*wire.ConfirmResponse, error) {
	o.cfg.Recorder.Observe(req.GetHeader().GetLamport())
	results := o.confirmServer.Results(ctx, req)
	return &wire.ConfirmResponse{Header: o.header(), Results: results}, nil
}

// WatchGroup returns the view of a group that this instance monitors. It waits
// while the caller knows the newest view, up to the wait time of the request.
func (o *Overseer) WatchGroup(ctx context.Context, req *wire.WatchGroupRequest) (*wire.WatchGroupResponse, error) {
	o.cfg.Recorder.Observe(req.GetHeader().GetLamport())
	state := o.stateOf(req.GetGroup())
	if state == nil {
		return &wire.WatchGroupResponse{Header: o.header()}, nil
	}
	if _, ok := state.getTracker(); !ok {
		declined := o.cfg.Clock.Now().Before(state.declinedUntil())
		return &wire.WatchGroupResponse{Header: o.header(), Declined: declined}, nil
	}
	state.recordReport(req.GetHeader().GetInstance(), req.GetMonitor(), req.GetSeq(), int(req.GetPrimaryInFlight()))
	o.awaitUpdate(ctx, state, req)
	now := o.cfg.Clock.Now()
	return &wire.WatchGroupResponse{
		Header:    o.header(),
		IsMonitor: true,
		View:      encodeView(state.get(now), state.completedIDs(), now),
	}, nil
}

// awaitUpdate waits until the view is newer than the one that the caller knows,
// or its wait time is over.
func (o *Overseer) awaitUpdate(ctx context.Context, state *groupState, req *wire.WatchGroupRequest) {
	updated, isNew := state.awaitUpdate(req.GetMonitor(), req.GetSeq())
	if isNew {
		return
	}
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, watchWait)
	timer := o.cfg.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

func (o *Overseer) header() *wire.Header {
	return &wire.Header{Instance: o.cfg.Directory.Self().Instance, Lamport: o.cfg.Recorder.Tick()}
}
