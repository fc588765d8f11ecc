package noder

import (
	"time"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/storer"
	"marigoldhub.example/hub/internal/tracker"
)

// beliefs tells other instances what this one knows and learns from them.
type beliefs struct{ *Node }

// State implements [gossiper.Beliefs].
func (b beliefs) State(other *wire.PeerState) *wire.PeerState {
	<-b.built
	s := &wire.PeerState{Header: &wire.Header{Instance: b.settings.Instance}}
	state := b.informer.State()
	b.addServers(s, other)
	b.addDuty(s)
	if !state.HasConfiguration() {
		return s
	}
	c := state.Configuration
	s.ConfigurationVersion = c.Version
	if other != nil && other.GetConfigurationVersion() < c.Version {
		s.Configuration = c.Raw
	}
	for name := range c.Services {
		g := b.dispatcher.Group(name)
		view := &wire.ServiceView{Service: name}
		if l, ok := g.Leader(); ok {
			view.Primary, view.Term = l.Server.ID, l.Term
		}
		p := g.Acknowledged()
		view.Acknowledged = &wire.Position{Term: p.Term, Offset: p.Offset}
		if sample, ok := g.Newest(); ok {
			view.Sample = &wire.Position{Term: sample.Position.Term, Offset: sample.Position.Offset}
			view.SampleTerm, view.SampleAgeUs = sample.Term, uint64(b.clock.Since(sample.At).Microseconds())+1
		}
		s.Services = append(s.Services, view)
	}
	return s
}

func (b beliefs) addServers(s, other *wire.PeerState) {
	list := b.informer.List()
	s.ServersRevision, s.ServersDigest = list.Revision, list.Digest
	if other == nil || other.GetServersRevision() >= list.Revision || other.GetServersDigest() == list.Digest {
		return
	}
	for _, e := range list.Entries {
		s.Servers = append(s.Servers, &wire.ServerEntry{Key: e.Key, Value: e.Value})
	}
}

// Learn implements [gossiper.Beliefs]. A configuration is checked like one from
// the store, and replaces only an older one. A sample is at least as young as
// its age says, counted from when it was asked for.
func (b beliefs) Learn(s *wire.PeerState, asked time.Time) {
	<-b.built
	b.duty.learn(s.GetDutyHolder(), s.GetDutyToken())
	source := "instance " + s.GetHeader().GetInstance()
	state := b.informer.State()
	if len(s.GetConfiguration()) > 0 && (!state.HasConfiguration() || state.Configuration.Version < s.GetConfigurationVersion()) {
		b.informer.Offer(s.GetConfiguration(), source)
		state = b.informer.State()
	}
	if len(s.GetServers()) > 0 {
		entries := make([]storer.Entry, 0, len(s.GetServers()))
		for _, e := range s.GetServers() {
			entries = append(entries, storer.Entry{Key: e.GetKey(), Value: e.GetValue()})
		}
		b.informer.OfferList(informer.List{Revision: s.GetServersRevision(), Entries: entries})
		state = b.informer.State()
	}
	if !state.HasConfiguration() {
		return
	}
	for _, view := range s.GetServices() {
		if _, ok := state.Configuration.Services[view.GetService()]; !ok {
			continue
		}
		g := b.dispatcher.Group(view.GetService())
		g.Acknowledge(tracker.Position{Term: view.GetAcknowledged().GetTerm(), Offset: view.GetAcknowledged().GetOffset()})
		if srv, ok := state.Server(view.GetService(), view.GetPrimary()); ok && view.GetTerm() > g.Term() {
			g.Learn(attester.Leader{Server: srv, Term: view.GetTerm()}, source)
		}
		if view.GetSample() != nil && !asked.IsZero() {
			age := time.Duration(view.GetSampleAgeUs()) * time.Microsecond
			g.AddSample(attester.Sample{
				At: asked.Add(-age), Term: view.GetSampleTerm(),
				Position: tracker.Position{Term: view.GetSample().GetTerm(), Offset: view.GetSample().GetOffset()},
			})
		}
	}
}

// EndTenure implements [gossiper.Beliefs].
func (b beliefs) EndTenure(token int64) {
	<-b.built
	b.holder.Disown(token)
}

// Acknowledged implements [replacer.Peers].
func (b beliefs) Acknowledged(service string) tracker.Position {
	return b.dispatcher.Group(service).Acknowledged()
}
