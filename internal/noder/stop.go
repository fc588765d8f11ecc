package noder

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// drainShare of the stop limit is the time in which sessions at rest are
	// closed and open transactions may end.
	drainShare = 0.45
	// stopMargin is kept between the end of the process and the kill.
	stopMargin = time.Second
)

// Stop ends the instance within its stop limit: it is not ready at once, gives
// its duty up, closes sessions at rest, lets transactions end, and answers what
// runs. What depends on the store has no part in the time that sessions get.
func (n *Node) Stop() {
	began := n.clock.Now()
	n.mu.Lock()
	stopping := n.draining
	n.draining = true
	n.mu.Unlock()
	if stopping {
		return
	}
	n.log.Info("noder: stopping")
	n.dispatcher.StopForwarding()
	go func() {
		defer close(n.done)
		left := make(chan struct{})
		go func() {
			defer close(left)
			n.leave()
		}()
		drain := time.Duration(float64(n.settings.StopGracePeriod) * drainShare)
		n.sessions.Drain(drain)
		n.clock.Sleep(drain - n.clock.Since(began))
		ended := n.sessions.Stop(n.settings.StopGracePeriod - stopMargin - n.clock.Since(began))
		forwarded := n.dispatcher.AwaitForwarded(n.settings.StopGracePeriod - stopMargin - n.clock.Since(began))
		n.close()
		n.log.WithFields(logrus.Fields{"took": n.clock.Since(began).String(), "all_sessions_ended": ended, "open_for_others": forwarded}).Info("noder: stopped")
		select {
		case <-left:
		case <-n.clock.After(leaveLimit):
		}
		n.printer.Close()
		<-n.printer.Done()
	}()
}

// close ends the parts that the store and other instances need not hear of.
func (n *Node) close() {
	n.gossiper.Close()
	n.control.Close()
	n.peers.Close()
	n.dispatcher.Close()
	n.informer.Close()
	for _, srv := range n.web {
		srv.Close()
	}
}

// leaveLimit is how long a process that has nothing else to do waits for the
// store; entries lapse by themselves.
const leaveLimit = 200 * time.Millisecond

// leave gives up what other instances can take over.
func (n *Node) leave() {
	n.replacer.Close()
	n.holder.Close()
	n.registrar.Close()
}
