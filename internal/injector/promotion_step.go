package injector

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/standin/link"
)

const (
	// slowPromotion is the one-way delay to the servers that separates the
	// steps of a promotion.
	slowPromotion = 40 * time.Millisecond
	promotionWait = 5 * time.Second
)

// promotionStep kills the primary and injects when the timeline shows the
// event of the promoter.
func promotionStep(kind string) Step {
	return Step{Name: "promotion_" + kind, Run: func(ctx context.Context, s *Scene, inject func() error) error {
		before, err := s.highestLamport()
		if err != nil {
			return err
		}
		d := link.Duration(slowPromotion)
		if err := s.D.Links.Set(link.Rule{Link: "sql:*", DelayToTarget: &d, DelayToSource: &d}); err != nil {
			return err
		}
		if err := killPrimary.Inject(ctx, s); err != nil {
			return err
		}
		if err := s.waitEvent(kind, before); err != nil {
			return err
		}
		return inject()
	}}
}

func (s *Scene) highestLamport() (uint64, error) {
	var highest uint64
	for _, e := range s.D.Entries {
		events, err := e.Timeline()
		if err != nil {
			return 0, err
		}
		for _, event := range events {
			highest = max(highest, event.Lamport)
		}
	}
	return highest, nil
}

// waitEvent waits for an event of the promoter of the group that is newer than
// the given Lamport time.
func (s *Scene) waitEvent(kind string, after uint64) error {
	deadline := time.Now().Add(promotionWait)
	for time.Now().Before(deadline) {
		for _, e := range s.D.Entries {
			if e.IsDone() {
				continue
			}
			events, err := e.Timeline()
			if err == nil && s.hasEvent(events, kind, after) {
				return nil
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	return errors.Errorf("no event %q of a promotion within %v", kind, promotionWait)
}

func (s *Scene) hasEvent(events []recorder.Event, kind string, after uint64) bool {
	for _, e := range events {
		if e.Component == "promoter" && e.Kind == kind && e.Group == s.Group && e.Lamport > after {
			return true
		}
	}
	return false
}
