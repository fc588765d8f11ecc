package acquirer

import (
	"context"
	"net"
	"syscall"
	"time"

	"marigoldhub.example/hub/internal/guarder"
)

// watchPeer interrupts a wait for a server connection when the caller has closed its
// connection. The read loop does not notice that while it holds a message of the next batch,
// and callers that connect, send and close in a loop would fill the queue.
func (a *Acquirer) watchPeer(interrupt context.CancelCauseFunc) (stop func()) {
	raw := a.cfg.Conn
	if c, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = c.NetConn() // below TLS
	}
	tcp, ok := raw.(syscall.Conn)
	if !ok {
		return func() {}
	}
	ended := make(chan struct{})
	watch := time.AfterFunc(checkInterval, func() {
		defer guarder.Recover(a.cfg.Log, "watch of the caller")
		ticker := time.NewTicker(checkInterval)
		defer ticker.Stop()
		for !peerClosed(tcp) {
			select {
			case <-ended:
				return
			case <-ticker.C:
			}
		}
		interrupt(errPeerClosed)
	})
	return func() {
		watch.Stop()
		close(ended)
	}
}
