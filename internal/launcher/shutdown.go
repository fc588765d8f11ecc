package launcher

import (
	"context"
	"time"
)

const (
	// expeditedDrainTime is how long open transactions may still run after
	// expedite is closed.
	expeditedDrainTime = time.Second
	// finalDrainTime is how long running statements and commits are still
	// answered after the drain limit.
	finalDrainTime = 30 * time.Second
	// reporterCloseTimeout bounds the wait for running administration requests.
	reporterCloseTimeout = 2 * time.Second
)

// Shutdown stops the instance gracefully: it reports the instance as not ready,
// waits until the balancer has seen that, gives up its roles, refuses new
// connections and ends sessions as they become idle outside a transaction.
// Closing expedite shortens the wait for open transactions to one second.
func (i *Instance) Shutdown(expedite <-chan struct{}) {
	close(i.stopping)
	i.recorder.Record("launcher", "drain_started", "")
	i.sleep(time.Duration(i.settings.Callers.BalancerDelay), expedite)
	// The other instances ask another allocator from now on.
	i.allocator.Stop()
	i.membership.AnnounceLeave(context.Background())
	if gk := i.runningGatekeeper(); gk != nil {
		i.drain(gk, expedite)
	}
	i.closeComponents()
}

// sessionDrainer is the part of a gatekeeper that a shutdown uses. Both methods
// return the number of sessions left when ctx ends.
type sessionDrainer interface {
	// Drain refuses new connections and ends sessions once they are idle
	// outside a transaction.
	Drain(ctx context.Context) int
	// Expire also ends sessions that are idle inside a transaction.
	Expire(ctx context.Context) int
}

func (i *Instance) drain(drainer sessionDrainer, expedite <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i.settings.Callers.DrainLimit))
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-expedite:
			time.Sleep(expeditedDrainTime)
			cancel()
		case <-ended:
		}
	}()
	left := drainer.Drain(ctx)
	if left == 0 {
		return
	}
	i.log.WithField("sessions", left).Warn("launcher: drain limit reached, idle transactions are ended")
	final, cancelFinal := context.WithTimeout(context.Background(), finalDrainTime)
	defer cancelFinal()
	if left := drainer.Expire(final); left > 0 {
		i.log.WithField("sessions", left).Error("launcher: sessions were cut off")
	}
}

// sleep returns after d, or earlier when expedite is closed.
func (i *Instance) sleep(d time.Duration, expedite <-chan struct{}) {
	select {
	case <-i.clock.After(d):
	case <-expedite:
	}
}

// closeComponents ends the components in the reverse order of their start,
// except that the server for peers ends before the membership.
func (i *Instance) closeComponents() {
	ctx, cancel := context.WithTimeout(context.Background(), reporterCloseTimeout)
	defer cancel()
	_ = i.reporter.Close(ctx)
	i.throttler.Close()
	_ = i.pool.Close()
	_ = i.divider.Close()
	i.overseer.Close()
	i.distributor.Close()
	_ = i.server.Close()
	_ = i.membership.Close()
	_ = i.peers.Close()
	_ = i.heartbeats.Close()
}
