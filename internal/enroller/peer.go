package enroller

import (
	"math/rand/v2"
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// peer is an address to which heartbeats are sent. It says nothing about whether
// an instance is alive there.
type peer struct {
	address string
	// seed is set for the addresses of the settings, which are never dropped.
	seed bool
	// isSelf is set when the address turned out to be this instance's. The peer
	// stays in the map without a task, so that no list adds it again.
	isSelf  bool
	addedAt time.Time
	// instance is the name that the address reported last.
	instance string
	// heardAt is the time of the last message from the instance at this address.
	heardAt time.Time
	// listHash is the list hash in the last answer, 0 if the peer does not know
	// this process.
	listHash uint64
	// stream is used only by the task of this peer.
	stream heartbeatStream
}

// addPeer starts a heartbeat task for an address that has none, unless the
// address was dropped recently or there are too many peers. The caller holds
// mu.
func (ms *Membership) addPeer(address string, seed bool, now time.Time) {
	if address == ms.self.Address || address == "" || ms.ctx.Err() != nil {
		return
	}
	if _, ok := ms.peers[address]; ok {
		return
	}
	if _, ok := ms.dropped[address]; ok && !seed {
		return
	}
	if len(ms.peers) >= ms.cfg.MaxMembers && !seed {
		return
	}
	p := &peer{address: address, seed: seed, addedAt: now}
	ms.peers[address] = p
	ms.tasks.Go(func() { ms.runHeartbeats(p) })
}

// runHeartbeats exchanges heartbeats with one peer until it is dropped.
func (ms *Membership) runHeartbeats(p *peer) {
	defer p.stream.close()
	pause := ms.cfg.HeartbeatInterval
	for ms.keepPeer(p) {
		started := ms.cfg.Clock.Now()
		if ms.shouldSend(p) {
			if again, err := ms.exchange(p); err == nil {
				pause = ms.cfg.HeartbeatInterval
				if again {
					_, _ = ms.exchange(p)
				}
			} else if ms.ctx.Err() == nil {
				ms.failed.Inc(1)
				pause = ms.backoff(p, pause)
			}
		} else {
			p.stream.close()
			pause = ms.cfg.HeartbeatInterval
		}
		select {
		case <-ms.ctx.Done():
			return
		case <-ms.cfg.Clock.After(max(pause-ms.cfg.Clock.Since(started), 0)):
		}
	}
}

// backoff returns the pause after a failed exchange. A member that still counts
// as alive is tried at the normal interval.
func (ms *Membership) backoff(p *peer, pause time.Duration) time.Duration {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	e, ok := ms.members[p.instance]
	if ok && e.alive(ms.cfg.Clock.Now(), ms.cfg.FailureTimeout) {
		return ms.cfg.HeartbeatInterval
	}
	pause = min(pause*2, maxBackoff)
	return pause - rand.N(pause/4)
}

// keepPeer reports whether heartbeats to the address should continue, and drops
// the peer otherwise.
func (ms *Membership) keepPeer(p *peer) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if p.isSelf {
		return false
	}
	if p.seed {
		return true
	}
	now := ms.cfg.Clock.Now()
	silent, limit := now.Sub(p.heardAt), forgetTimeout
	if p.heardAt.IsZero() {
		silent, limit = now.Sub(p.addedAt), unheardPeerTimeout
	}
	if silent <= limit {
		return true
	}
	delete(ms.peers, p.address)
	ms.dropped[p.address] = now
	return false
}

// shouldSend reports whether this instance sends the next heartbeat. One
// exchange shows both sides that the other is alive, so the instance with the
// greater name sends none while it receives the other's heartbeats.
func (ms *Membership) shouldSend(p *peer) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	now := ms.cfg.Clock.Now()
	e, ok := ms.members[p.instance]
	if !ok || e.member.Address != p.address || ms.self.Instance < p.instance || ms.suspended(now) {
		return true
	}
	if now.Sub(e.heartbeatAt) > ms.cfg.HeartbeatInterval*5/4 {
		return true
	}
	p.heardAt = e.heardAt
	return false
}

// exchange sends one heartbeat and handles the answer. The result again is true
// when the peer did not know this process, so that a full request must follow.
func (ms *Membership) exchange(p *peer) (again bool, err error) {
	if err := p.stream.open(ms.ctx, ms.cfg.Dialer, p.address); err != nil {
		return false, err
	}
	begun := ms.cfg.Clock.Now()
	ms.sent.Inc(1)
	resp, err := p.stream.exchange(ms.heartbeatRequest(p))
	if err != nil {
		return false, err
	}
	return ms.handleResponse(p, resp, begun), nil
}

// heartbeatRequest returns the next request. If the hashes are equal, it omits
// what the peer already knows.
func (ms *Membership) heartbeatRequest(p *peer) *wire.HeartbeatRequest {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	now := ms.cfg.Clock.Now()
	ms.refresh(now)
	req := &wire.HeartbeatRequest{
		Header:      ms.stamper.Header(),
		Sender:      &wire.Member{Incarnation: ms.self.Incarnation},
		MembersHash: ms.listHash,
	}
	if p.stream.isNew() {
		p.listHash = 0
	}
	if p.listHash != ms.listHash {
		req.Sender = ms.self.toWire()
		req.Members = ms.listFor(ms.members[p.instance], p.listHash, now)
	}
	if p.listHash == 0 {
		// This instance does not know the peer, which must answer in full.
		req.MembersHash = 0
	}
	return req
}

func (ms *Membership) handleResponse(p *peer, resp *wire.HeartbeatResponse, begun time.Time) (again bool) {
	ms.stamper.Observe(resp.GetHeader())
	ms.mu.Lock()
	defer ms.mu.Unlock()
	now := ms.cfg.Clock.Now()
	ms.refresh(now)
	p.listHash = resp.GetMembersHash()
	m, complete := memberFromWire(resp.GetReceiver())
	if !complete {
		e, ok := ms.members[resp.GetHeader().GetInstance()]
		if !ok || e.member.Address != p.address || e.member.Incarnation != m.Incarnation {
			p.listHash = 0
			return true
		}
		m = e.member
	}
	if m.sameProcess(ms.self) {
		p.isSelf = true
		return false
	}
	p.instance, p.heardAt = m.Instance, now
	if e := ms.recordContact(m, now); e != nil && !begun.Before(ms.suspendedUntil.Add(-ms.cfg.FailureTimeout)) {
		ms.suspendedUntil = time.Time{}
	}
	ms.mergeList(resp.GetMembers(), now)
	ms.refresh(now)
	return p.listHash == 0
}
