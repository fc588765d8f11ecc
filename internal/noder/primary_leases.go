package noder

import (
	"sync"
	"time"

	"marigoldhub.example/hub/internal/holder"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/placer"
)

// knownCoordinator is the coordinator with the highest fencing token that is known.
type knownCoordinator struct {
	mu    sync.Mutex
	name  string
	token int64
}

func (k *knownCoordinator) update(name string, token int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if token > k.token {
		k.name, k.token = name, token
	}
}

func (k *knownCoordinator) get() (name string, token int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.name, k.token
}

// addCoordinator adds the known coordinator to the message.
func (v view) addCoordinator(s *wire.PeerState) {
	if token := v.holder.Tenure(); token != 0 {
		v.coordinator.update(v.settings.Instance, token)
	}
	s.DutyHolder, s.DutyToken = v.coordinator.get()
}

// LeaseSource implements [gossiper.View].
func (v view) LeaseSource(direct bool) (address string, self bool) {
	<-v.built
	if v.holder.IsCoordinator() {
		return "", true
	}
	if relay, ok := v.relay(); ok && !direct {
		return relay.Address, false
	}
	name, _ := v.coordinator.get()
	return v.addressOf(name), false
}

// relay returns the relay of this instance for primary leases, if it has one.
func (n *Node) relay() (placer.Peer, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roster.update(n)
	return n.roster.relayOf(n.self())
}

// Leases implements [gossiper.View].
func (v view) Leases() *wire.PermitResponse {
	<-v.built
	resp := &wire.PermitResponse{Configuration: v.proof()}
	if !v.holder.IsCoordinator() {
		v.addRelayedLeases(resp)
		return resp
	}
	ttl := uint64(holder.PrimaryLeaseTTL.Microseconds())
	for _, p := range v.replacer.GrantLeases() {
		if p.Next != "" {
			resp.Switchovers = append(resp.Switchovers, &wire.SwitchoverPermit{
				Service: p.Service, Primary: p.Leader.Server.ID, Term: p.Leader.Term, Next: p.Next, ForUs: ttl,
			})
			continue
		}
		resp.Permits = append(resp.Permits, &wire.Permit{
			Service: p.Service, Primary: p.Leader.Server.ID, Term: p.Leader.Term, ForUs: ttl,
		})
	}
	return resp
}

// relayedLeases are the primary leases of this instance as it passes them on. They are collected
// once for the leases that it has learnt last: a relay is asked 150 times a second, and a large
// fleet has a thousand services.
type relayedLeases struct {
	mu sync.Mutex
	// at is the time from which what remains is counted; zero if the leases must be collected.
	at          time.Time
	state       *informer.State
	leases      []relayedLease
	switchovers []relayedLease
}

// maxRelayedAge is how old the collected leases may be. It has the same effect as a response that
// takes this long, and is about the interval at which a relay renews its own leases.
const maxRelayedAge = 60 * time.Millisecond

// relayedLease is a primary lease, or one for a switchover to the server next.
type relayedLease struct {
	service, primary, next string
	term                   uint64
	remaining              time.Duration
}

// forget makes the leases be collected again.
func (r *relayedLeases) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at = time.Time{}
}

// collect returns the leases with the time that remained of each, and how long ago that was. The
// time is read before the leases, so that the remaining time is never overstated.
func (r *relayedLeases) collect(v view, now time.Time) (leases, switchovers []relayedLease, age time.Duration) {
	state := v.informer.State()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.at.IsZero() && r.state == state && now.Sub(r.at) < maxRelayedAge {
		return r.leases, r.switchovers, now.Sub(r.at)
	}
	r.at, r.state, r.leases, r.switchovers = now, state, nil, nil
	if !state.HasConfiguration() {
		return nil, nil, 0
	}
	for name := range state.Configuration.Services {
		g := v.dispatcher.Group(name)
		if server, term, remaining, ok := g.LeaseRemaining(); ok {
			r.leases = append(r.leases, relayedLease{service: name, primary: server, term: term, remaining: remaining})
		}
		if server, next, term, remaining, ok := g.SwitchoverRemaining(); ok {
			r.switchovers = append(r.switchovers, relayedLease{service: name, primary: server, next: next, term: term, remaining: remaining})
		}
	}
	return r.leases, r.switchovers, 0
}

// addRelayedLeases adds what remains of this instance's primary leases.
func (v view) addRelayedLeases(resp *wire.PermitResponse) {
	leases, switchovers, age := v.relayed.collect(v, v.clock.Now())
	permits := make([]wire.Permit, len(leases))
	resp.Permits = make([]*wire.Permit, 0, len(leases))
	for i, l := range leases {
		if l.remaining <= age {
			continue
		}
		p := &permits[i]
		p.Service, p.Primary, p.Term, p.ForUs = l.service, l.primary, l.term, uint64((l.remaining - age).Microseconds())
		resp.Permits = append(resp.Permits, p)
	}
	for _, l := range switchovers {
		if l.remaining > age {
			resp.Switchovers = append(resp.Switchovers, &wire.SwitchoverPermit{
				Service: l.service, Primary: l.primary, Term: l.term, Next: l.next, ForUs: uint64((l.remaining - age).Microseconds()),
			})
		}
	}
}

// LearnLeases implements [gossiper.View].
func (v view) LearnLeases(resp *wire.PermitResponse, asked time.Time) (lacks bool) {
	v.dispatcher.MarkUnreachable(resp.GetLost())
	lacks = v.learnProof(resp.GetConfiguration(), asked)
	state := v.informer.State()
	if !state.HasConfiguration() {
		return lacks
	}
	for _, p := range resp.GetPermits() {
		if _, ok := state.Configuration.Services[p.GetService()]; !ok {
			continue
		}
		v.dispatcher.Group(p.GetService()).ExtendLease(p.GetPrimary(), p.GetTerm(), leaseEnd(asked, p.GetForUs()))
	}
	for _, p := range resp.GetSwitchovers() {
		if _, ok := state.Configuration.Services[p.GetService()]; !ok {
			continue
		}
		v.dispatcher.Group(p.GetService()).ExtendSwitchover(p.GetPrimary(), p.GetNext(), p.GetTerm(), leaseEnd(asked, p.GetForUs()))
	}
	v.relayed.forget()
	return lacks
}

// leaseEnd returns when a lease ends that was requested at the time.
func leaseEnd(asked time.Time, microseconds uint64) time.Time {
	// No coordinator grants a longer time; the message is wrong then.
	remaining := min(microseconds, uint64(holder.PrimaryLeaseTTL.Microseconds()))
	return asked.Add(time.Duration(remaining) * time.Microsecond)
}
