package enroller

import (
	"context"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// Heartbeat implements wire.DRPCMembershipServer.
func (ms *Membership) Heartbeat(_ context.Context, req *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	ms.stamper.Observe(req.GetHeader())
	ms.mu.Lock()
	defer ms.mu.Unlock()
	now := ms.cfg.Clock.Now()
	ms.refresh(now)
	e := ms.recordSender(req.GetHeader().GetInstance(), req.GetSender(), now)
	if e != nil {
		e.heartbeatAt = now
	}
	ms.mergeList(req.GetMembers(), now)
	ms.refresh(now)
	resp := &wire.HeartbeatResponse{
		Header:      ms.stamper.Header(),
		Receiver:    &wire.Member{Incarnation: ms.self.Incarnation},
		MembersHash: ms.listHash,
	}
	if req.GetMembersHash() != ms.listHash || e == nil {
		resp.Receiver = ms.self.toWire()
		resp.Members = ms.listFor(e, req.GetMembersHash(), now)
	}
	if e == nil {
		resp.MembersHash = 0
	}
	return resp, nil
}

// Heartbeats implements wire.DRPCMembershipServer.
func (ms *Membership) Heartbeats(stream wire.DRPCMembership_HeartbeatsStream) error {
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
		resp, err := ms.Heartbeat(stream.Context(), req)
		if err != nil {
			return err
		}
		if err := stream.Send(compactResponse(resp)); err != nil {
			return err
		}
	}
}

// recordSender records a message from the sender and returns its state, or nil
// if the sender is unknown or not accepted. A compact request carries only the
// sender's incarnation.
func (ms *Membership) recordSender(name string, sender *wire.Member, now time.Time) *memberState {
	m, complete := memberFromWire(sender)
	if complete {
		return ms.recordContact(m, now)
	}
	e, ok := ms.members[name]
	if !ok || e.member.Incarnation != m.Incarnation {
		return nil
	}
	return ms.recordContact(e.member, now)
}

// Leave implements wire.DRPCMembershipServer.
func (ms *Membership) Leave(_ context.Context, req *wire.LeaveRequest) (*wire.LeaveResponse, error) {
	ms.stamper.Observe(req.GetHeader())
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if m, ok := memberFromWire(req.GetSender()); ok {
		m.Leaving = true
		now := ms.cfg.Clock.Now()
		ms.recordContact(m, now)
		ms.refresh(now)
	}
	return &wire.LeaveResponse{Header: ms.stamper.Header()}, nil
}

// AnnounceLeave tells the members that this instance is about to stop. It
// returns when all have answered, or when ctx or a short timeout ends. A member
// reassigns the roles as soon as it learns of the stop. Heartbeats continue
// until Close.
func (ms *Membership) AnnounceLeave(ctx context.Context) {
	ms.mu.Lock()
	ms.self.Leaving = true
	ms.dirty = true
	self := ms.self
	now := ms.cfg.Clock.Now()
	ms.refresh(now)
	members := ms.alive
	ms.mu.Unlock()
	ms.cfg.Recorder.Record("enroller", "leaving", "")
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range members {
		if m.Address == self.Address {
			continue
		}
		wg.Go(func() {
			conn, err := ms.cfg.Dialer.Dial(ctx, m.Address)
			if err != nil {
				return
			}
			req := &wire.LeaveRequest{Header: ms.stamper.Header(), Sender: self.toWire()}
			if resp, err := wire.NewDRPCMembershipClient(conn).Leave(ctx, req); err == nil {
				ms.stamper.Observe(resp.GetHeader())
			}
		})
	}
	wg.Wait()
}
