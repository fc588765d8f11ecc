package attester

import (
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/tracker"
)

// AddSample records a log position of the leader that was requested at s.At or
// later. The caller has proved that the leader had not been superseded at s.At.
// Samples of earlier terms are ignored.
func (g *Group) AddSample(s Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.Term < g.highestTerm {
		return
	}
	g.samples = g.samples.add(s)
}

// RecordAcknowledged records the position of a commit that a caller of any
// instance was told has succeeded.
func (g *Group) RecordAcknowledged(p tracker.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Compare(g.acknowledged) > 0 {
		g.acknowledged = p
	}
}

// Acknowledged returns the highest known position of an acknowledged commit.
func (g *Group) Acknowledged() tracker.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acknowledged
}

// RequiredPosition returns the lowest known position that covers every commit
// acknowledged before the time; false if no sample is recent enough.
func (g *Group) RequiredPosition(before time.Time) (Sample, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.samples.firstSince(before)
}

// PassedAt returns when the primary's log is first known to have gone beyond the
// position; false if that is not known. Older samples are forgotten, so the time may be
// later than the true one.
func (g *Group) PassedAt(p tracker.Position) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.samples {
		if s.Position.Compare(p) > 0 {
			return s.At, true
		}
	}
	return time.Time{}, false
}

// LatestSample returns the latest sample.
func (g *Group) LatestSample() (Sample, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.samples) == 0 {
		return Sample{}, false
	}
	return g.samples[len(g.samples)-1], true
}

// AwaitRequiredPosition is like [Group.RequiredPosition] but takes new samples
// from the leader until one is recent enough.
func (g *Group) AwaitRequiredPosition(before, deadline time.Time) (Sample, error) {
	for {
		if s, ok := g.RequiredPosition(before); ok {
			return s, nil
		}
		if !g.cfg.Clock.Now().Before(deadline) {
			return Sample{}, ErrNoLeader
		}
		err := g.refresh(deadline)
		if s, ok := g.RequiredPosition(before); ok {
			return s, nil
		}
		if err != nil {
			return Sample{}, err
		}
	}
}

// refresh takes a new sample from the leader or, if that fails, asks the other
// instances for theirs.
func (g *Group) refresh(deadline time.Time) error {
	l, ok := g.Leader()
	if !ok {
		g.cfg.AskPeers()
		var err error
		if l, err = g.AwaitLeader(deadline); err != nil {
			return err
		}
	}
	err := g.Confirm(l, deadline)
	if err != nil {
		g.cfg.AskPeers()
	}
	return err
}

// Confirm proves that the server leads the term at some time after the call, and
// takes a new sample from it. It asks the server itself and, unless a primary
// lease holds, a replica. A read that ran at another server is not valid by this.
func (g *Group) Confirm(l Leader, deadline time.Time) error {
	began := g.cfg.Clock.Now()
	var report exchanger.Report
	var probeErr error
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		report, probeErr = g.cfg.Prober.Probe(l.Server, exchanger.Statement{Kind: exchanger.Status}, earlier(deadline, began.Add(probeTimeout)))
	}()
	var err error
	if !g.HasLease(l) {
		err = g.ConfirmByReplica(began, l, deadline)
	}
	<-asked
	if probeErr != nil {
		return probeErr
	}
	if err != nil {
		return err
	}
	if !g.IsLeading(l, report) {
		return ErrSuperseded
	}
	g.AddSample(Sample{At: began, Position: report.Received, Term: l.Term})
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
