package sampler

import (
	"sync/atomic"
	"time"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/deployer"
)

// changes makes the content of every manifest different.
var changes atomic.Int64

// nextManifest returns the manifest of the installation with another age in
// its first read rule.
func nextManifest(d *deployer.Deployment) checker.Manifest {
	m := d.Manifest()
	m.Reads[0].MaxAge += checker.Duration(time.Duration(changes.Add(1)) * time.Millisecond)
	return m
}
