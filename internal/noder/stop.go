package noder

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/registrar"
)

const (
	// idleShare is the share of the stop limit in which idle sessions are closed one by one.
	idleShare = 0.45
	// transactionShare is the share that the platform's rules give a transaction that is open at
	// the stop signal.
	transactionShare = 0.5
	// arrivalTime is how long the last statement of such a transaction may be on its way. A
	// packet that is lost is sent again after 200 ms.
	arrivalTime = 250 * time.Millisecond
	// statementShare is the share in which running statements are answered. The rest is for the
	// end of the process.
	statementShare = 5.0 / 6
)

// Stop ends the instance within the stop limit of its settings. It reports not
// ready at once, tells the other instances that it stops, gives up the coordinator
// role, closes idle sessions, lets transactions end, and then waits for the running
// requests. Calls to the store run concurrently, so that a slow store does not
// shorten the time of the sessions.
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
	n.allocator.Stop()
	go func() {
		defer close(n.done)
		departed := make(chan struct{})
		go func() {
			defer close(departed)
			n.leave()
		}()
		n.withdrawAsGateway()
		left := func(share float64) time.Duration {
			return time.Duration(float64(n.settings.StopGracePeriod)*share) - n.clock.Since(began)
		}
		n.sessions.Drain(left(idleShare))
		n.clock.Sleep(left(idleShare))
		ended := n.sessions.Stop(left(transactionShare)+arrivalTime, left(statementShare))
		forwarded := n.dispatcher.AwaitForwardedTransactions(left(statementShare))
		n.close()
		n.log.WithFields(logrus.Fields{"took": n.clock.Since(began).String(), "all_sessions_ended": ended, "open_for_others": forwarded}).Info("noder: stopped")
		select {
		case <-departed:
		case <-n.clock.After(leaveTimeout):
		}
		n.printer.Close()
		<-n.printer.Done()
	}()
}

// withdrawAsGateway makes all other instances leave this one out of their plans of gateways, and
// then refuses new work of those that did not get the message. Until then it runs what they
// send.
func (n *Node) withdrawAsGateway() {
	unreached := n.gossiper.Leave(context.Background())
	if len(n.registrar.Others()) > 0 {
		n.clock.Sleep(registrar.RemovalInterval)
	}
	n.mu.Lock()
	n.hasLeft = true
	n.mu.Unlock()
	n.dispatcher.StopForwarding()
	n.log.WithField("unreached", unreached).Info("noder: other instances were told that this one is stopping")
}

// close closes the components that need neither the store nor other instances to
// end.
func (n *Node) close() {
	n.throttler.Close()
	n.gossiper.Close()
	n.control.Close()
	n.peers.Close()
	n.dispatcher.Close()
	n.informer.Close()
	for _, srv := range n.httpServers {
		srv.Close()
	}
}

// leaveTimeout is how long a process that has nothing else to do waits for the store
// in leave; entries expire by themselves.
const leaveTimeout = 200 * time.Millisecond

// leave ends what other instances take over: changes of primary, the coordinator
// role and the entry of this instance.
func (n *Node) leave() {
	n.replacer.Close()
	n.holder.Close()
	n.registrar.Close()
}
