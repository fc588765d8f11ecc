package launcher

import (
	"context"
	"time"
)

const (
	// expeditedDrainTime replaces the drain limit after a second signal.
	expeditedDrainTime = time.Second
	// finalDrainTime is how long running statements and commits are still answered
	// after the drain limit.
	finalDrainTime = 30 * time.Second
	// reporterCloseTimeout bounds the end of running administration requests.
	reporterCloseTimeout = 2 * time.Second
)

// Shutdown stops the instance gracefully: readiness first, then new
// connections, then duties, then sessions as they become idle. Closing hurry
// shortens the wait for open transactions.
func (i *Instance) Shutdown(hurry <-chan struct{}) {
	close(i.stopping)
	i.recorder.Record("launcher", "drain_started", "")
	i.sleep(time.Duration(i.settings.Callers.BalancerDelay), hurry)
	i.membership.AnnounceLeave(context.Background())
	if gate := i.runningGatekeeper(); gate != nil {
		i.drain(gate, hurry)
	}
	i.closeComponents()
}

// sessionDrainer is the part of a gatekeeper that a shutdown uses.
type sessionDrainer interface {
	Drain(ctx context.Context) int
	Expire(ctx context.Context) int
}

func (i *Instance) drain(gate sessionDrainer, hurry <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i.settings.Callers.DrainLimit))
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-hurry:
			time.Sleep(expeditedDrainTime)
			cancel()
		case <-ended:
		}
	}()
	left := gate.Drain(ctx)
	if left == 0 {
		return
	}
	i.log.WithField("sessions", left).Warn("launcher: drain limit reached, idle transactions are ended")
	last, cancelLast := context.WithTimeout(context.Background(), finalDrainTime)
	defer cancelLast()
	if left := gate.Expire(last); left > 0 {
		i.log.WithField("sessions", left).Error("launcher: sessions were cut off")
	}
}

func (i *Instance) sleep(d time.Duration, hurry <-chan struct{}) {
	select {
	case <-i.clock.After(d):
	case <-hurry:
	}
}

// closeComponents ends the parts in the opposite order of their start.
func (i *Instance) closeComponents() {
	ctx, cancel := context.WithTimeout(context.Background(), reporterCloseTimeout)
	defer cancel()
	_ = i.reporter.Close(ctx)
	_ = i.pool.Close()
	_ = i.divider.Close()
	i.overseer.Close()
	i.distributor.Close()
	_ = i.server.Close()
	_ = i.membership.Close()
	_ = i.peers.Close()
	_ = i.heartbeats.Close()
}
