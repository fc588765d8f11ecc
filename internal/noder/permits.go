package noder

import (
	"sync"
	"time"

	"marigoldhub.example/hub/internal/holder"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/placer"
)

// knownDuty is the holder of the duty with the highest token that is known.
type knownDuty struct {
	mu    sync.Mutex
	name  string
	token int64
}

func (k *knownDuty) learn(name string, token int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if token > k.token {
		k.name, k.token = name, token
	}
}

func (k *knownDuty) get() (name string, token int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.name, k.token
}

// addDuty tells who holds the duty.
func (v view) addDuty(s *wire.PeerState) {
	if token := v.holder.Tenure(); token != 0 {
		v.duty.learn(v.settings.Instance, token)
	}
	s.DutyHolder, s.DutyToken = v.duty.get()
}

// PromiseAddress implements [gossiper.View].
func (v view) PromiseAddress(direct bool) (address string, self bool) {
	<-v.built
	if v.holder.IsHolding() {
		return "", true
	}
	if relay, ok := placer.PrimaryLeaseRelay(v.self(), v.instances()); ok && !direct {
		return relay.Address, false
	}
	name, _ := v.duty.get()
	return v.addressOf(name), false
}

// Permits implements [gossiper.View].
func (v view) Permits() *wire.PermitResponse {
	<-v.built
	resp := &wire.PermitResponse{}
	if !v.holder.IsHolding() {
		v.passOn(resp)
		return resp
	}
	for _, p := range v.replacer.Promises() {
		resp.Permits = append(resp.Permits, &wire.Permit{
			Service: p.Service, Primary: p.Leader.Server.ID, Term: p.Leader.Term,
			ForUs: uint64(holder.PromiseTime.Microseconds()),
		})
	}
	return resp
}

// passOn adds what is left of the promises that this instance has.
func (v view) passOn(resp *wire.PermitResponse) {
	state := v.informer.State()
	if !state.HasConfiguration() {
		return
	}
	for name := range state.Configuration.Services {
		if server, term, left, ok := v.dispatcher.Group(name).PermitLeft(); ok {
			resp.Permits = append(resp.Permits, &wire.Permit{Service: name, Primary: server, Term: term, ForUs: uint64(left.Microseconds())})
		}
	}
}

// LearnPermits implements [gossiper.View].
func (v view) LearnPermits(resp *wire.PermitResponse, asked time.Time) {
	v.dispatcher.MarkUnreachable(resp.GetLost())
	state := v.informer.State()
	if !state.HasConfiguration() {
		return
	}
	for _, p := range resp.GetPermits() {
		if _, ok := state.Configuration.Services[p.GetService()]; !ok {
			continue
		}
		// No holder promises more; a longer time is an error on the way.
		left := min(p.GetForUs(), uint64(holder.PromiseTime.Microseconds()))
		until := asked.Add(time.Duration(left) * time.Microsecond)
		v.dispatcher.Group(p.GetService()).Permit(p.GetPrimary(), p.GetTerm(), until)
	}
}
