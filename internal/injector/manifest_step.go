package injector

import (
	"context"

	"marigoldhub.example/hub/internal/deployer"
)

// manifestStep changes the manifest and injects after the given stage.
func manifestStep(name string, stage deployer.Stage) Step {
	return Step{Name: name, Harmless: true, Run: func(ctx context.Context, s *Scene, inject func() error) error {
		m := s.D.Manifest()
		m.Callers[0].PinnedLimit = 7
		var injected error
		err := s.D.PublishStaged(ctx, m, func(reached deployer.Stage) {
			if reached == stage {
				injected = inject()
			}
		})
		if err == nil {
			s.Changes.Accept()
		}
		return injected
	}}
}

var (
	manifestProposed     = manifestStep("manifest_proposed", deployer.Proposed)
	manifestApprovedOnce = manifestStep("manifest_approved_once", deployer.ApprovedOnce)
	manifestAccepted     = manifestStep("manifest_accepted", deployer.Accepted)
)
