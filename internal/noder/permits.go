package noder

import (
	"sync"
	"time"

	"marigoldhub.example/hub/internal/holder"
	"marigoldhub.example/hub/internal/messenger/wire"
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
func (b beliefs) addDuty(s *wire.PeerState) {
	if token := b.holder.Tenure(); token != 0 {
		b.duty.learn(b.settings.Instance, token)
	}
	s.DutyHolder, s.DutyToken = b.duty.get()
}

// HolderAddress implements [gossiper.Beliefs].
func (b beliefs) HolderAddress() (address string, self bool) {
	<-b.built
	if b.holder.IsHolding() {
		return "", true
	}
	name, _ := b.duty.get()
	for _, o := range b.registrar.Others() {
		if o.Name == name {
			return o.Address, false
		}
	}
	return "", false
}

// Permits implements [gossiper.Beliefs].
func (b beliefs) Permits() *wire.PermitResponse {
	<-b.built
	resp := &wire.PermitResponse{}
	for _, p := range b.replacer.Promises() {
		resp.Permits = append(resp.Permits, &wire.Permit{
			Service: p.Service, Primary: p.Leader.Server.ID, Term: p.Leader.Term,
			ForUs: uint64(holder.PromiseTime.Microseconds()),
		})
	}
	return resp
}

// LearnPermits implements [gossiper.Beliefs].
func (b beliefs) LearnPermits(resp *wire.PermitResponse, asked time.Time) {
	state := b.informer.State()
	if !state.HasConfiguration() {
		return
	}
	for _, p := range resp.GetPermits() {
		if _, ok := state.Configuration.Services[p.GetService()]; !ok {
			continue
		}
		until := asked.Add(time.Duration(p.GetForUs()) * time.Microsecond)
		b.dispatcher.Group(p.GetService()).Permit(p.GetPrimary(), p.GetTerm(), until)
	}
}
