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

const cancelTimeout = 2 * time.Second

// cancelForwarder forwards cancel requests between instances. It serves
// wire.Sessions.
type cancelForwarder struct {
	directory enroller.Directory
	dialer    messenger.Dialer
	stamper   messenger.Stamper
	// gatekeeper returns nil until the instance serves callers.
	gatekeeper func() *gatekeeper.Gatekeeper
}

// forward sends a cancel request to the instances whose tag it names.
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
	gate := c.gatekeeper()
	if gate == nil {
		return nil, gatekeeper.ErrUnknownSession
	}
	if err := gate.Cancel(ctx, req.GetProcessId(), req.GetSecretKey()); err != nil {
		return nil, err
	}
	return &wire.CancelResponse{Header: c.stamper.Header()}, nil
}
