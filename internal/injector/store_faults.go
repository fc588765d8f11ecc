package injector

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/approver"
)

var storeDown = Fault{Name: "store_down", Hold: shortHold, Inject: func(_ context.Context, s *Scene) error {
	s.onHeal(func() error { return s.D.Platform.SetDown(false) })
	return s.D.Platform.SetDown(true)
}}

const slowStore = 500 * time.Millisecond

var storeSlow = Fault{Name: "store_slow", Hold: shortHold, Inject: func(_ context.Context, s *Scene) error {
	s.onHeal(func() error { return s.D.Platform.SetResponseDelay(0) })
	return s.D.Platform.SetResponseDelay(slowStore)
}}

var storeLosesAnswers = Fault{Name: "store_loses_answers", Hold: shortHold, Inject: func(_ context.Context, s *Scene) error {
	s.onHeal(func() error { return s.D.Platform.LoseResponses(0) })
	return s.D.Platform.LoseResponses(lostAnswers)
}}

// operatorRace lets two operators change the same part at once. Each of them
// either succeeds or is told what changed; any other error is a failure of the
// race, unless another fault holds the store.
var operatorRace = Fault{Name: "operator_race", Hold: shortHold, Inject: func(ctx context.Context, s *Scene) error {
	var wg sync.WaitGroup
	results := make([]error, 2)
	for i := range results {
		m := s.D.Manifest()
		m.Callers[0].PinnedLimit = 3 + i
		wg.Go(func() { _, results[i] = s.D.Publish(ctx, m) })
	}
	wg.Wait()
	for _, err := range results {
		var conflict *approver.ConflictError
		switch {
		case err == nil:
			s.Changes.Accept()
		case !errors.As(err, &conflict):
			return errors.Wrap(err, "operator was not told what changed")
		}
	}
	return nil
}}
