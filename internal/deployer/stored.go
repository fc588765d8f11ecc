package deployer

import (
	"context"
	"time"

	"github.com/pelletier/go-toml/v2"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/storer"
)

// commitTimeRecorder records when the last transaction was sent to the store.
type commitTimeRecorder struct {
	storer.Store
	sent time.Time
}

// Commit implements storer.Store.
func (c *commitTimeRecorder) Commit(ctx context.Context, tx storer.Transaction) (storer.Result, error) {
	c.sent = time.Now()
	return c.Store.Commit(ctx, tx)
}

// PublishTimed is PublishStaged that also returns the time at which the
// transaction of the second approval was sent to the store. The store applies it
// a little later.
func (d *Deployment) PublishTimed(ctx context.Context, m checker.Manifest, reached func(Stage)) (time.Time, error) {
	content, err := toml.Marshal(m)
	if err != nil {
		return time.Time{}, err
	}
	clock := &commitTimeRecorder{Store: d.operatorStore()}
	err = d.proposeAndApproveIn(ctx, clock, m.Part, content, reached)
	return clock.sent, err
}
