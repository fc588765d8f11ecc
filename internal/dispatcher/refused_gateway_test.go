package dispatcher_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/exchanger/exchangertest"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/placer"
)

// refusingDialer refuses connections because the server has too many.
type refusingDialer struct{ dials atomic.Int32 }

func (d *refusingDialer) Dial(exchanger.Target, time.Time) (exchanger.Conn, error) {
	d.dials.Add(1)
	return nil, &exchanger.RefusedError{Code: exchanger.TooManyConnections}
}

// Guards against a statement that is refused because its first gateway has no connection
// to a server that accepts no more, although another gateway has one.
func TestGatewayWithoutAConnectionIsPassedOver(t *testing.T) {
	f := newFleet(t)
	full := &refusingDialer{}
	srv, _ := f.informer.State().Server(exchangertest.Service, "a")
	gateways := placer.Gateways(srv.ID, srv.Zone, fleetPeers(), 3)
	first := gateways[0]
	f.net.mu.Lock()
	f.net.runners[first.Address] = f.start(t, first, full)
	f.net.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	for i := range 5 {
		if a := f.caller.Run(request(fmt.Sprint("w", i), exchanger.Write, informer.PrimaryReads)); !a.OK() {
			t.Errorf("write %d: %v %s", i, a.Code, a.Text)
		}
	}
	if full.dials.Load() == 0 {
		t.Error("the first gateway was not asked")
	}
	if n := f.dials.Load(); n != 0 {
		t.Errorf("the instance opened %d connections of its own", n)
	}
}
