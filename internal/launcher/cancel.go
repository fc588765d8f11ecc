package launcher

import (
	"context"
	"errors"
	"time"

	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/gatekeeper"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
)

// cancelTimeout bounds the forwarding of one cancel request, over all instances
// that it is sent to.
const cancelTimeout = 2 * time.Second

// cancelForwarder passes cancel requests between instances: the balancer may
// send a cancel request to an instance that does not serve the session. It
// implements wire.DRPCSessionsServer.
type cancelForwarder struct {
	directory enroller.Directory
	dialer    messenger.Dialer
	stamper   messenger.Stamper
	// gatekeeper returns nil until the instance accepts callers.
	gatekeeper func() *gatekeeper.Gatekeeper
}

// forward sends a cancel request to the other instances whose tag is in the
// process ID, one after the other, until one of them has the session. Several
// instances may have the same tag.
func (c *cancelForwarder) forward(ctx context.Context, processID uint32, secret []byte) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	failures := []error{gatekeeper.ErrUnknownSession}
	for _, m := range c.directory.Members() {
		if m.Instance == c.directory.Self().Instance || gatekeeper.InstanceTag(m.Instance) != gatekeeper.TagOf(processID) {
			continue
		}
		err := c.sendCancel(ctx, m, processID, secret)
		if err == nil {
			return nil
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

func (c *cancelForwarder) sendCancel(ctx context.Context, m enroller.Member, processID uint32, secret []byte) error {
	conn, err := c.dialer.Dial(ctx, m.Address)
	if err != nil {
		return err
	}
	_, err = wire.NewDRPCSessionsClient(conn).Cancel(ctx, &wire.CancelRequest{
		Header: c.stamper.Header(), ProcessId: processID, SecretKey: secret,
	})
	return err
}

// Cancel implements wire.DRPCSessionsServer.
func (c *cancelForwarder) Cancel(ctx context.Context, req *wire.CancelRequest) (*wire.CancelResponse, error) {
	gk := c.gatekeeper()
	if gk == nil {
		return nil, gatekeeper.ErrUnknownSession
	}
	if err := gk.Cancel(ctx, req.GetProcessId(), req.GetSecretKey()); err != nil {
		return nil, err
	}
	return &wire.CancelResponse{Header: c.stamper.Header()}, nil
}
