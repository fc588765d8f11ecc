package noder

import (
	"sync"
	"time"

	"marigoldhub.example/hub/internal/holder"
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

// addRelayedLeases adds what remains of this instance's primary leases.
func (v view) addRelayedLeases(resp *wire.PermitResponse) {
	state := v.informer.State()
	if !state.HasConfiguration() {
		return
	}
	for name := range state.Configuration.Services {
		g := v.dispatcher.Group(name)
		if server, term, remaining, ok := g.LeaseRemaining(); ok {
			resp.Permits = append(resp.Permits, &wire.Permit{Service: name, Primary: server, Term: term, ForUs: uint64(remaining.Microseconds())})
		}
		if server, next, term, remaining, ok := g.SwitchoverRemaining(); ok {
			resp.Switchovers = append(resp.Switchovers, &wire.SwitchoverPermit{
				Service: name, Primary: server, Term: term, Next: next, ForUs: uint64(remaining.Microseconds()),
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
	return lacks
}

// leaseEnd returns when a lease ends that was requested at the time.
func leaseEnd(asked time.Time, microseconds uint64) time.Time {
	// No coordinator grants a longer time; the message is wrong then.
	remaining := min(microseconds, uint64(holder.PrimaryLeaseTTL.Microseconds()))
	return asked.Add(time.Duration(remaining) * time.Microsecond)
}
