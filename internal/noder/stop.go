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

// Stop ends the instance within its stop limit: it is not ready at once, closes
// sessions at rest, lets transactions end, and answers what runs.
func (n *Node) Stop() {
	began := n.clock.Now()
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	n.log.Info("noder: stopping")
	go func() {
		defer close(n.done)
		n.replacer.Close()
		n.holder.Close()
		drain := time.Duration(float64(n.settings.StopLimit) * drainShare)
		n.sessions.Drain(drain)
		n.clock.Sleep(drain - n.clock.Since(began))
		ended := n.sessions.Stop(n.settings.StopLimit - stopMargin - n.clock.Since(began))
		n.gossiper.Close()
		n.registrar.Close()
		n.control.Close()
		n.peers.Close()
		n.dispatcher.Close()
		n.informer.Close()
		n.store.Close()
		for _, srv := range n.web {
			srv.Close()
		}
		n.log.WithFields(logrus.Fields{"took": n.clock.Since(began).String(), "all_sessions_ended": ended}).Info("noder: stopped")
		n.printer.Close()
		<-n.printer.Done()
	}()
}
