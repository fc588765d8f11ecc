package injector

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/deployer"
	"marigoldhub.example/hub/internal/pooler"
)

// cutPrimary isolates the primary: nobody reaches it and it reaches nobody.
var cutPrimary = Fault{Name: "cut_primary", Hold: shortHold, Inject: func(_ context.Context, s *Scene) error {
	p, err := s.Primary()
	if err != nil {
		return err
	}
	return errors.Join(
		s.D.Links.Cut("", deployer.SQLLink(p.Name)),
		s.D.Links.Cut("", deployer.ReplicationLink(p.Name)),
		s.D.Links.Cut(p.IP, ""),
	)
}}

// cutPrimaryOneWay swallows what instances and replicas send to the primary;
// what the primary sends still arrives.
var cutPrimaryOneWay = Fault{Name: "cut_primary_one_way", Hold: shortHold, Inject: func(_ context.Context, s *Scene) error {
	p, err := s.Primary()
	if err != nil {
		return err
	}
	return errors.Join(
		s.D.Links.CutOneWay("", deployer.SQLLink(p.Name)),
		s.D.Links.CutOneWay("", deployer.ReplicationLink(p.Name)),
	)
}}

// cutReplication leaves the primary reachable by callers only. In the middle of
// a promotion it strikes the server that the promotion chooses.
var cutReplication = Fault{Name: "cut_replication", Hold: stallHold, Inject: func(_ context.Context, s *Scene) error {
	p, err := s.Candidate()
	if err != nil {
		return err
	}
	return s.D.Links.Cut("", deployer.ReplicationLink(p.Name))
}, Verify: verifyStallDetected}

// verifyStallDetected checks that the primary was replaced for stalled
// replication. With a server down, no majority of replicas is left for that. A
// monitor whose links to the servers are slow does not reach them: a round trip
// takes as long as a probe may.
func verifyStallDetected(s *Scene) error {
	for _, server := range s.D.ServersOf(s.Group) {
		if _, err := server.State(); err != nil {
			return nil
		}
	}
	for _, e := range s.D.Entries {
		if e.IsDone() {
			continue
		}
		events, err := e.Timeline()
		if err != nil {
			return err
		}
		for _, event := range events {
			if event.Group == s.Group && event.Kind == "detected" && event.Fields["reason"] == "replication_stalled" {
				return nil
			}
		}
	}
	m, err := s.Monitor()
	if err != nil {
		return err
	}
	if s.isProbeSlow && m == s.Probe {
		return nil
	}
	return errors.Errorf("stalled replication of group %s was not detected by %s; the probe's instance is %s", s.Group, m.Name, s.Probe.Name)
}

// cutEntry cuts the probe's instance off all backend servers and peers.
var cutEntry = Fault{Name: "cut_entry", Hold: shortHold, Inject: func(_ context.Context, s *Scene) error {
	return errors.Join(
		s.D.Links.Cut(s.Probe.IP, "sql:*"),
		s.D.Links.Cut(s.Probe.IP, deployer.AllPeerLinks),
		s.D.Links.Cut("", deployer.PeerLink(s.Probe.Name)),
	)
}}

const farBehind = 60 * time.Second

// lagReplicas concerns every running server but the primary. During a promotion
// there may be no primary, and the killed one takes no settings.
var lagReplicas = Fault{Name: "lag_replicas", Hold: longHold, Inject: func(_ context.Context, s *Scene) error {
	p, err := s.Primary()
	if err != nil {
		p = nil
	}
	for _, server := range s.D.ServersOf(s.Group) {
		if server == p || server.IsDone() {
			continue
		}
		if err := server.SetLag(farBehind); err != nil {
			return err
		}
		s.onHeal(func() error { return server.SetLag(s.D.Plan.ApplyDelay) })
	}
	return nil
}}

// serverLeaving marks a replica as leaving. At the end of the hold, which is
// longer than the 3 s that the promise allows, only monitors may be connected.
var serverLeaving = Fault{Name: "server_leaving", Hold: longHold, Planned: true, Inject: func(_ context.Context, s *Scene) error {
	p, err := s.Primary()
	if err != nil {
		return err
	}
	for _, server := range s.D.ServersOf(s.Group) {
		if server == p || server.IsDone() {
			continue
		}
		s.onHeal(func() error { return errors.Join(checkLeft(s, server), server.SetLeaving(false)) })
		return server.SetLeaving(true)
	}
	return ErrNoTarget
}}

// checkLeft reports a violation when connections of pools are still open.
func checkLeft(s *Scene, server *deployer.Server) error {
	state, err := server.State()
	if err != nil {
		return err
	}
	if state.Connections > pooler.ReservedConnections {
		s.Report("leaving_server_gets_no_work", fmt.Sprintf("%s still has %d connections", server.Name, state.Connections))
	}
	return nil
}

// lostAnswers is the number of commits whose answer is lost.
const lostAnswers = 3

var serverLosesAnswers = Fault{Name: "server_loses_answers", Hold: shortHold, Inject: func(_ context.Context, s *Scene) error {
	p, err := s.Primary()
	if err != nil {
		return err
	}
	s.onHeal(func() error { return p.LoseResponses(0) })
	return p.LoseResponses(lostAnswers)
}}
