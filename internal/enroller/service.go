package enroller

import (
	"context"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// Heartbeat implements wire.DRPCMembershipServer.
func (r *Roster) Heartbeat(_ context.Context, req *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	r.stamper.Observe(req.GetHeader())
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	r.refresh(now)
	e := r.heardSender(req.GetHeader().GetInstance(), req.GetSender(), now)
	if e != nil {
		e.inbound = now
	}
	r.mergeList(req.GetMembers(), now)
	r.refresh(now)
	resp := &wire.HeartbeatResponse{
		Header:      r.stamper.Header(),
		Receiver:    &wire.Member{Incarnation: r.self.Incarnation},
		MembersHash: r.listHash,
	}
	if req.GetMembersHash() != r.listHash || e == nil {
		resp.Receiver = r.self.toWire()
		resp.Members = r.listFor(e, req.GetMembersHash(), now)
	}
	if e == nil {
		resp.MembersHash = 0
	}
	return resp, nil
}

// Heartbeats implements wire.DRPCMembershipServer.
func (r *Roster) Heartbeats(stream wire.DRPCMembership_HeartbeatsStream) error {
	var sender *wire.Member
	for {
		req, err := stream.Recv()
		if err != nil {
			return err
		}
		if req.GetSender() != nil {
			sender = req.GetSender()
		} else {
			req.Header = &wire.Header{Instance: sender.GetInstance(), Lamport: req.GetHeader().GetLamport()}
			req.Sender = &wire.Member{Incarnation: sender.GetIncarnation()}
		}
		resp, err := r.Heartbeat(stream.Context(), req)
		if err != nil {
			return err
		}
		if err := stream.Send(shortResponse(resp)); err != nil {
			return err
		}
	}
}

// heardSender returns the sender's entry, nil when the sender is unknown or
// refused. A short sender carries only its incarnation.
func (r *Roster) heardSender(name string, sender *wire.Member, now time.Time) *entry {
	m, complete := memberFromWire(sender)
	if complete {
		return r.heard(m, now)
	}
	e, ok := r.members[name]
	if !ok || e.member.Incarnation != m.Incarnation {
		return nil
	}
	return r.heard(e.member, now)
}

// Leave implements wire.DRPCMembershipServer.
func (r *Roster) Leave(_ context.Context, req *wire.LeaveRequest) (*wire.LeaveResponse, error) {
	r.stamper.Observe(req.GetHeader())
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := memberFromWire(req.GetSender()); ok {
		m.Leaving = true
		now := r.cfg.Clock.Now()
		r.heard(m, now)
		r.refresh(now)
	}
	return &wire.LeaveResponse{Header: r.stamper.Header()}, nil
}

// AnnounceLeave tells the members that this instance stops, and returns when
// they have answered or ctx or a short limit ended. Heartbeats go on until
// Close. Duties move when a member learns of it.
func (r *Roster) AnnounceLeave(ctx context.Context) {
	r.mu.Lock()
	r.self.Leaving = true
	r.dirty = true
	self := r.self
	now := r.cfg.Clock.Now()
	r.refresh(now)
	peers := r.listed
	r.mu.Unlock()
	r.cfg.Recorder.Record("enroller", "leaving", "")
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range peers {
		if m.Address == self.Address {
			continue
		}
		wg.Go(func() {
			conn, err := r.cfg.Dialer.Dial(ctx, m.Address)
			if err != nil {
				return
			}
			req := &wire.LeaveRequest{Header: r.stamper.Header(), Sender: self.toWire()}
			if resp, err := wire.NewDRPCMembershipClient(conn).Leave(ctx, req); err == nil {
				r.stamper.Observe(resp.GetHeader())
			}
		})
	}
	wg.Wait()
}
