package injector

import (
	"context"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/deployer"
)

// partition puts the primary and the probe's instance on one side and all
// other instances and servers, and the store, on the other. Callers reach both
// sides, so the probe's instance goes on reading from a primary that the other
// side replaces.
var partition = Fault{Name: "partition_with_primary", Hold: shortHold, Inject: func(_ context.Context, s *Scene) error {
	p, err := s.Primary()
	if err != nil {
		return err
	}
	return errors.Join(s.cutProbe(p), s.cutOthers(p))
}}

// cutProbe cuts the probe's instance off everything but the primary.
func (s *Scene) cutProbe(primary *deployer.Server) error {
	failures := []error{
		s.D.Links.Cut(s.Probe.IP, deployer.AllPeerLinks),
		s.D.Links.Cut(s.Probe.IP, deployer.AllStoreLinks),
		s.D.Links.Cut("", deployer.PeerLink(s.Probe.Name)),
	}
	for _, server := range s.D.ServersOf(s.Group) {
		if server != primary {
			failures = append(failures, s.D.Links.Cut(s.Probe.IP, deployer.SQLLink(server.Name)))
		}
	}
	return errors.Join(failures...)
}

// cutOthers cuts the primary off all instances but the probe's, and off the
// other servers.
func (s *Scene) cutOthers(primary *deployer.Server) error {
	failures := []error{
		s.D.Links.Cut("", deployer.ReplicationLink(primary.Name)),
		s.D.Links.Cut(primary.IP, ""),
	}
	for _, e := range s.D.Entries {
		if e != s.Probe {
			failures = append(failures, s.D.Links.Cut(e.IP, deployer.SQLLink(primary.Name)))
		}
	}
	return errors.Join(failures...)
}
