package overseer

import (
	"context"
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// Granter serves the part of the Groups service that divides connections.
type Granter interface {
	Grant(ctx context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error)
}

// GroupsServer is the drpc service Groups.
type GroupsServer struct {
	*Overseer
	Granter
}

var _ wire.DRPCGroupsServer = GroupsServer{}

// Confirm serves other instances' confirmations.
func (o *Overseer) Confirm(ctx context.Context, req *wire.ConfirmRequest) (*wire.ConfirmResponse, error) {
	o.cfg.Recorder.Observe(req.GetHeader().GetLamport())
	results := o.confirms.Results(ctx, req)
	return &wire.ConfirmResponse{Header: o.header(), Results: results}, nil
}

// WatchGroup serves the view of a group that this instance monitors. The call
// is held while the caller knows the newest view.
func (o *Overseer) WatchGroup(ctx context.Context, req *wire.WatchGroupRequest) (*wire.WatchGroupResponse, error) {
	o.cfg.Recorder.Observe(req.GetHeader().GetLamport())
	b := o.board(req.GetGroup())
	if b == nil {
		return &wire.WatchGroupResponse{Header: o.header()}, nil
	}
	if _, ok := b.getTracker(); !ok {
		declined := o.cfg.Clock.Now().Before(b.declinedUntil())
		return &wire.WatchGroupResponse{Header: o.header(), Declined: declined}, nil
	}
	b.report(req.GetHeader().GetInstance(), req.GetMonitor(), req.GetSeq(), int(req.GetPrimaryInFlight()))
	o.holdCall(ctx, b, req)
	now := o.cfg.Clock.Now()
	return &wire.WatchGroupResponse{
		Header:    o.header(),
		IsMonitor: true,
		View:      encodeView(b.get(now), b.completedIDs(), now),
	}, nil
}

func (o *Overseer) holdCall(ctx context.Context, b *board, req *wire.WatchGroupRequest) {
	updated, isNew := b.await(req.GetMonitor(), req.GetSeq())
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
