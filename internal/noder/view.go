package noder

import (
	"slices"
	"strings"
	"time"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/registrar"
	"marigoldhub.example/hub/internal/storer"
	"marigoldhub.example/hub/internal/tracker"
)

// view implements [gossiper.View]: this instance's state as others see it.
type view struct{ *Node }

// State implements [gossiper.View].
func (v view) State(other *wire.PeerState) *wire.PeerState {
	<-v.built
	s := &wire.PeerState{Header: &wire.Header{Instance: v.settings.Instance}}
	state := v.informer.State()
	v.addServers(s, other)
	v.addCoordinator(s)
	if !state.HasConfiguration() {
		return s
	}
	c := state.Configuration
	s.ConfigurationVersion = c.Version
	if other != nil {
		s.ConfigurationProof = v.proof()
	}
	if other != nil && other.GetConfigurationVersion() < c.Version {
		s.Configuration = c.Packed
	}
	// The time is read once: a read is a system call, and there may be a thousand services. A
	// caller counts ages from before its request, so that they are not too short.
	now := v.clock.Now()
	for name := range c.Services {
		g := v.dispatcher.Group(name)
		sv := &wire.ServiceView{Service: name}
		if l, ok := g.Leader(); ok {
			sv.Primary, sv.Term = l.Server.ID, l.Term
		}
		p := g.Acknowledged()
		sv.Acknowledged = &wire.Position{Term: p.Term, Offset: p.Offset}
		if sample, ok := g.LatestSample(); ok {
			sv.Sample = &wire.Position{Term: sample.Position.Term, Offset: sample.Position.Offset}
			sv.SampleTerm, sv.SampleAgeUs = sample.Term, ageOf(now.Sub(sample.At))
		}
		s.Services = append(s.Services, sv)
	}
	return s
}

// addServers adds the revision and the digest of the server list, and the list if that of the
// other instance is older and differs. An instance that has no list of instances asks for one
// by the revision 0, together with the digest of its servers: it may have learned these from
// an instance that had no list of instances either.
func (v view) addServers(s, other *wire.PeerState) {
	list := v.informer.List()
	s.ServersRevision, s.ServersDigest = list.Revision, list.Digest
	if other != nil && !list.ReadAt.IsZero() {
		s.ServersAgeUs = ageOf(v.clock.Since(list.ReadAt))
	}
	if other != nil {
		v.addDraining(s)
	}
	if other == nil {
		if !v.registrar.HasList() {
			s.ServersRevision = 0
		}
		return
	}
	var entries []storer.Entry
	if other.GetServersRevision() < list.Revision && other.GetServersDigest() != list.Digest {
		entries = list.Entries
	}
	if other.GetServersRevision() == 0 {
		entries = slices.Concat(entries, v.registrar.Entries())
	}
	for _, e := range entries {
		s.Servers = append(s.Servers, &wire.ServerEntry{Key: e.Key, Value: e.Value})
	}
}

// Learn implements [gossiper.View]. A configuration is validated like one from the
// store and replaces only an older one. The age of a sample is counted from before
// the message was requested, so that the sample is not taken for newer than it is.
func (v view) Learn(s *wire.PeerState, asked time.Time) (lacks bool) {
	<-v.built
	readAt, _ := timeOf(s.GetServersAgeUs(), asked)
	v.coordinator.update(s.GetDutyHolder(), s.GetDutyToken())
	source := "instance " + s.GetHeader().GetInstance()
	state := v.informer.State()
	if len(s.GetConfiguration()) > 0 && (!state.HasConfiguration() || state.Configuration.Version < s.GetConfigurationVersion()) {
		if v.informer.OfferPacked(s.GetConfiguration(), source) {
			v.gossiper.Spread(false)
		}
		state = v.informer.State()
	}
	if !asked.IsZero() {
		v.learnProof(s.GetConfigurationProof(), asked)
	}
	if len(s.GetServers()) > 0 {
		var servers, instances []storer.Entry
		for _, e := range s.GetServers() {
			entry := storer.Entry{Key: e.GetKey(), Value: e.GetValue()}
			if strings.HasPrefix(entry.Key, registrar.Prefix) {
				instances = append(instances, entry)
				continue
			}
			servers = append(servers, entry)
		}
		if len(servers) > 0 && v.informer.OfferList(informer.List{Revision: s.GetServersRevision(), Entries: servers, ReadAt: readAt}) {
			v.gossiper.Spread(false)
		}
		v.registrar.Offer(instances)
		state = v.informer.State()
	}
	if !readAt.IsZero() {
		v.informer.ObserveRead(s.GetServersRevision(), readAt)
	}
	for _, d := range s.GetDraining() {
		if after, ok := timeOf(d.GetAgeUs(), asked); ok {
			v.informer.ObserveDraining(d.GetId(), d.GetBorn(), after)
		}
	}
	list := v.informer.List()
	lacks = s.GetServersRevision() > list.Revision && s.GetServersDigest() != list.Digest
	if !state.HasConfiguration() {
		return lacks || s.GetConfigurationVersion() > 0
	}
	lacks = lacks || s.GetConfigurationVersion() > state.Configuration.Version
	for _, sv := range s.GetServices() {
		if _, ok := state.Configuration.Services[sv.GetService()]; !ok {
			continue
		}
		g := v.dispatcher.Group(sv.GetService())
		g.RecordAcknowledged(tracker.Position{Term: sv.GetAcknowledged().GetTerm(), Offset: sv.GetAcknowledged().GetOffset()})
		if srv, ok := state.Server(sv.GetService(), sv.GetPrimary()); ok && sv.GetTerm() > g.Term() {
			g.Learn(attester.Leader{Server: srv, Term: sv.GetTerm()}, source)
		}
		if sv.GetSample() != nil && !asked.IsZero() {
			age := time.Duration(sv.GetSampleAgeUs()) * time.Microsecond
			g.AddSample(attester.Sample{
				At: asked.Add(-age), Term: sv.GetSampleTerm(),
				Position: tracker.Position{Term: sv.GetSample().GetTerm(), Offset: sv.GetSample().GetOffset()},
			})
		}
	}
	return lacks
}

// addDraining adds the draining servers of which this instance knows a time at which they were
// not draining yet.
func (v view) addDraining(s *wire.PeerState) {
	for _, srv := range v.informer.State().Draining() {
		if !srv.DrainingAfter.IsZero() {
			s.Draining = append(s.Draining, &wire.DrainingServer{Id: srv.ID, Born: srv.Born, AgeUs: ageOf(v.clock.Since(srv.DrainingAfter))})
		}
	}
}

// LearnStopping implements [gossiper.View].
func (v view) LearnStopping(name string) { v.registrar.Remove(name) }

// EndTenure implements [gossiper.View].
func (v view) EndTenure(token int64) {
	<-v.built
	v.holder.EndTenure(token)
}

// Acknowledged implements [replacer.Peers].
func (v view) Acknowledged(service string) tracker.Position {
	return v.dispatcher.Group(service).Acknowledged()
}
