package enroller

import (
	"math/rand/v2"
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// candidate is an address that a heartbeat task tries.
type candidate struct {
	address string
	// seed addresses are never dropped.
	seed bool
	// own is set when the address turned out to be this instance's. The
	// candidate stays in the map without a task, so that no list adds it again.
	own   bool
	added time.Time
	// instance is the name under which the address answered last.
	instance string
	// heard is the last answer at this address.
	heard time.Time
	// peerHash is the list hash in the last answer.
	peerHash uint64
	// channel carries the heartbeats; only the task of this candidate uses it.
	channel channel
}

// addCandidate starts a heartbeat task for an address that has none. The
// caller holds mu.
func (r *Roster) addCandidate(address string, seed bool, now time.Time) {
	if address == r.self.Address || address == "" || r.ctx.Err() != nil {
		return
	}
	if _, ok := r.candidates[address]; ok {
		return
	}
	if _, ok := r.dropped[address]; ok && !seed {
		return
	}
	if len(r.candidates) >= r.cfg.MaxMembers && !seed {
		return
	}
	c := &candidate{address: address, seed: seed, added: now}
	r.candidates[address] = c
	r.tasks.Go(func() { r.heartbeats(c) })
}

// heartbeats is the task of one peer.
func (r *Roster) heartbeats(c *candidate) {
	defer c.channel.close()
	pause := r.cfg.HeartbeatInterval
	for r.keep(c) {
		started := r.cfg.Clock.Now()
		if r.mustSend(c) {
			if again, err := r.exchange(c); err == nil {
				pause = r.cfg.HeartbeatInterval
				if again {
					_, _ = r.exchange(c)
				}
			} else if r.ctx.Err() == nil {
				r.failed.Inc(1)
				pause = r.backoff(c, pause)
			}
		} else {
			c.channel.close()
			pause = r.cfg.HeartbeatInterval
		}
		select {
		case <-r.ctx.Done():
			return
		case <-r.cfg.Clock.After(max(pause-r.cfg.Clock.Since(started), 0)):
		}
	}
}

// backoff returns the next pause after a failure. A member that may still be
// alive is tried at the normal pace.
func (r *Roster) backoff(c *candidate, pause time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.members[c.instance]
	if ok && e.alive(r.cfg.Clock.Now(), r.cfg.AliveLimit) {
		return r.cfg.HeartbeatInterval
	}
	pause = min(pause*2, maxBackoff)
	return pause - rand.N(pause/4)
}

// keep reports whether the address is still worth trying, and drops it
// otherwise.
func (r *Roster) keep(c *candidate) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.own {
		return false
	}
	if c.seed {
		return true
	}
	now := r.cfg.Clock.Now()
	silent, limit := now.Sub(c.heard), forgetLimit
	if c.heard.IsZero() {
		silent, limit = now.Sub(c.added), candidateLimit
	}
	if silent <= limit {
		return true
	}
	delete(r.candidates, c.address)
	r.dropped[c.address] = now
	return false
}

// mustSend reports whether this side sends the next heartbeat. One exchange
// proves both sides alive to each other, so the side with the greater name
// stays quiet while the other side's heartbeats arrive.
func (r *Roster) mustSend(c *candidate) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	e, ok := r.members[c.instance]
	if !ok || e.member.Address != c.address || r.self.Instance < c.instance || r.suspended(now) {
		return true
	}
	if now.Sub(e.inbound) > r.cfg.HeartbeatInterval*5/4 {
		return true
	}
	c.heard = e.heard
	return false
}

// exchange sends one heartbeat. It reports again when the peer did not know
// this process and needs the full request.
func (r *Roster) exchange(c *candidate) (again bool, err error) {
	if err := c.channel.open(r.ctx, r.cfg.Dialer, c.address); err != nil {
		return false, err
	}
	begun := r.cfg.Clock.Now()
	r.sent.Inc(1)
	resp, err := c.channel.exchange(r.heartbeatRequest(c))
	if err != nil {
		return false, err
	}
	return r.handleResponse(c, resp, begun), nil
}

// heartbeatRequest leaves out what the peer knows when the hashes are equal.
func (r *Roster) heartbeatRequest(c *candidate) *wire.HeartbeatRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	r.refresh(now)
	req := &wire.HeartbeatRequest{
		Header:      r.stamper.Header(),
		Sender:      &wire.Member{Incarnation: r.self.Incarnation},
		MembersHash: r.listHash,
	}
	if c.channel.fresh() {
		c.peerHash = 0
	}
	if c.peerHash != r.listHash {
		req.Sender = r.self.toWire()
		req.Members = r.listFor(r.members[c.instance], c.peerHash, now)
	}
	if c.peerHash == 0 {
		// The peer is unknown here, so it must answer in full.
		req.MembersHash = 0
	}
	return req
}

func (r *Roster) handleResponse(c *candidate, resp *wire.HeartbeatResponse, begun time.Time) (again bool) {
	r.stamper.Observe(resp.GetHeader())
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	r.refresh(now)
	c.peerHash = resp.GetMembersHash()
	m, complete := memberFromWire(resp.GetReceiver())
	if !complete {
		e, ok := r.members[resp.GetHeader().GetInstance()]
		if !ok || e.member.Address != c.address || e.member.Incarnation != m.Incarnation {
			c.peerHash = 0
			return true
		}
		m = e.member
	}
	if m.sameProcess(r.self) {
		c.own = true
		return false
	}
	c.instance, c.heard = m.Instance, now
	if e := r.heard(m, now); e != nil && !begun.Before(r.suspendedUntil.Add(-r.cfg.AliveLimit)) {
		r.suspendedUntil = time.Time{}
	}
	r.mergeList(resp.GetMembers(), now)
	r.refresh(now)
	return c.peerHash == 0
}
