package injector

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

var storeDown = Fault{Name: "store_down", Hold: shortHold, Inject: func(_ context.Context, s *Scene) error {
	s.onHeal(func() error { return s.D.Platform.SetDown(false) })
	return s.D.Platform.SetDown(true)
}}

const slowStore = 500 * time.Millisecond

var storeSlow = Fault{Name: "store_slow", Hold: shortHold, Inject: func(_ context.Context, s *Scene) error {
	s.onHeal(func() error { return s.D.Platform.SetSlow(0) })
	return s.D.Platform.SetSlow(slowStore)
}}

var storeLosesAnswers = Fault{Name: "store_loses_answers", Hold: shortHold, Inject: func(_ context.Context, s *Scene) error {
	s.onHeal(func() error { return s.D.Platform.LoseAnswers(0) })
	return s.D.Platform.LoseAnswers(lostAnswers)
}}

// operatorRace lets two operators change the same part at once. At least one
// of them must be told that the part changed, or both revisions follow each
// other.
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
		if err == nil {
			s.Changes.Accept()
		}
	}
	if results[0] != nil && results[1] != nil {
		return errors.Wrap(errors.Join(results...), "both operators of a race failed")
	}
	return nil
}}
