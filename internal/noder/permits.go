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
func (v view) addDuty(s *wire.PeerState) {
	if token := v.holder.Tenure(); token != 0 {
		v.duty.learn(v.settings.Instance, token)
	}
	s.DutyHolder, s.DutyToken = v.duty.get()
}

// HolderAddress implements [gossiper.View].
func (v view) HolderAddress() (address string, self bool) {
	<-v.built
	if v.holder.IsHolding() {
		return "", true
	}
	name, _ := v.duty.get()
	return v.addressOf(name), false
}

// Permits implements [gossiper.View].
func (v view) Permits() *wire.PermitResponse {
	<-v.built
	resp := &wire.PermitResponse{}
	for _, p := range v.replacer.Promises() {
		resp.Permits = append(resp.Permits, &wire.Permit{
			Service: p.Service, Primary: p.Leader.Server.ID, Term: p.Leader.Term,
			ForUs: uint64(holder.PromiseTime.Microseconds()),
		})
	}
	return resp
}

// LearnPermits implements [gossiper.View].
func (v view) LearnPermits(resp *wire.PermitResponse, asked time.Time) {
	v.dispatcher.LoseInstances(resp.GetQuiet())
	state := v.informer.State()
	if !state.HasConfiguration() {
		return
	}
	for _, p := range resp.GetPermits() {
		if _, ok := state.Configuration.Services[p.GetService()]; !ok {
			continue
		}
		until := asked.Add(time.Duration(p.GetForUs()) * time.Microsecond)
		v.dispatcher.Group(p.GetService()).Permit(p.GetPrimary(), p.GetTerm(), until)
	}
}
