package replacer

import (
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// primaryGrace is how much longer than another server the primary may take to answer the
// last probe before it is replaced.
const primaryGrace = 50 * time.Millisecond

// isFailureConfirmed reports whether another server of the service answers this instance
// while the primary does not. If none answers, no fence is possible, and the fault may be
// this instance's: its link may be full or its processor busy for a second. Commands that
// it sent would arrive late and stop a primary that serves all others.
func (t *task) isFailureConfirmed(l attester.Leader) bool {
	began := t.cfg.Clock.Now()
	deadline := began.Add(probeTimeout)
	servers := t.servers()
	primary := make(chan bool, 1)
	others := make(chan bool, len(servers))
	asked := 0
	go func() { primary <- t.answers(l.Server, began, deadline) }()
	for _, srv := range servers {
		if srv.ID != l.Server.ID {
			asked++
			go func() { others <- t.answers(srv, began, deadline) }()
		}
	}
	for range asked {
		select {
		case answered := <-others:
			if answered {
				return !t.answersSoon(primary)
			}
		case <-t.ctx.Done():
			return false
		}
	}
	if asked == 0 {
		// No server could take over, whoever is the coordinator.
		return false
	}
	t.metrics.cutOff.Inc(1)
	if t.blockedSince.IsZero() {
		t.log.WithFields(logrus.Fields{"server": l.Server.ID, "term": l.Term}).
			Warn("replacer: no server of the service answers this instance; the primary is not replaced yet")
	}
	t.yieldIfBlocked()
	return false
}

// answers reports whether the server answers a probe that began at the time.
func (t *task) answers(srv informer.Server, began, deadline time.Time) bool {
	_, err := t.cfg.Backends.Probe(srv, exchanger.Statement{Kind: exchanger.Status}, deadline)
	// A busy server answers without a report.
	answered, _ := t.cfg.Backends.Health(srv.ID)
	return err == nil || !answered.Before(began)
}

// answersSoon reports whether the primary's answer arrives within primaryGrace.
func (t *task) answersSoon(primary <-chan bool) bool {
	select {
	case answered := <-primary:
		return answered
	case <-t.cfg.Clock.After(primaryGrace):
		return false
	}
}
