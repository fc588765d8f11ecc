package distributor

import (
	"context"
	"math/rand/v2"
	"time"

	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/messenger/wire"
)

// push sends new envelopes to the members of this zone and to one member of
// each other zone, which passes them on. It does not wait.
func (d *Distributor) push(news []*held) {
	if len(news) == 0 || d.cfg.Mode == EveryInstanceWatches {
		return
	}
	self := d.self()
	others := map[string][]enroller.Member{}
	for _, m := range d.cfg.Directory.Members() {
		if m.Zone != self.Zone {
			others[m.Zone] = append(others[m.Zone], m)
		}
	}
	d.pushToZone(news, self.Instance)
	for _, members := range others {
		d.pushTo(members[rand.IntN(len(members))], news, true)
	}
}

// pushToZone sends new envelopes to the other members of this zone.
func (d *Distributor) pushToZone(news []*held, sender string) {
	self := d.self()
	for _, m := range d.cfg.Directory.Members() {
		if m.Zone == self.Zone && m.Instance != self.Instance && m.Instance != sender {
			d.pushTo(m, news, false)
		}
	}
}

func (d *Distributor) pushTo(m enroller.Member, news []*held, forward bool) {
	d.start(func() {
		select {
		case d.pushes <- struct{}{}:
		case <-d.ctx.Done():
			return
		}
		defer func() { <-d.pushes }()
		for _, part := range splitBySize(news) {
			d.counters.pushes.Inc(1)
			if err := d.callPush(m, part, forward); err != nil && d.ctx.Err() == nil {
				// The digest exchange makes up for a lost push.
				d.counters.pushErrors.Inc(1)
				d.cfg.Log.WithError(err).WithField("instance", m.Instance).Debug("distributor: push failed")
			}
		}
	})
}

// splitBySize splits the list into messages of limited size, keeping the order.
func splitBySize(news []*held) [][]*held {
	var parts [][]*held
	size := maxFetchSize
	for _, h := range news {
		if size+len(h.encoded) > maxFetchSize {
			parts = append(parts, nil)
			size = 0
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], h)
		size += len(h.encoded)
	}
	return parts
}

func (d *Distributor) callPush(m enroller.Member, news []*held, forward bool) error {
	return d.call(m, func(ctx context.Context, c wire.DRPCManifestsClient) error {
		req := &wire.PushRequest{Header: d.header(), Forward: forward}
		for _, h := range news {
			req.Envelopes = append(req.Envelopes, h.encoded)
			req.AgesMs = append(req.AgesMs, d.age(h.born))
		}
		resp, err := c.Push(ctx, req)
		if err == nil {
			d.observe(resp.Header)
		}
		return err
	})
}

// call runs one request to a peer.
func (d *Distributor) call(m enroller.Member, run func(context.Context, wire.DRPCManifestsClient) error) error {
	ctx, cancel := context.WithTimeout(d.ctx, peerTimeout)
	defer cancel()
	conn, err := d.cfg.Dialer.Dial(ctx, m.Address)
	if err != nil {
		return err
	}
	if err := run(ctx, wire.NewDRPCManifestsClient(conn)); err != nil {
		return err
	}
	d.markHeard()
	return nil
}

func (d *Distributor) header() *wire.Header {
	return &wire.Header{Instance: d.self().Instance, Lamport: d.cfg.Recorder.Time()}
}

func (d *Distributor) observe(h *wire.Header) { d.cfg.Recorder.Observe(h.GetLamport()) }

func (d *Distributor) age(born time.Time) uint64 {
	return uint64(max(d.cfg.Clock.Since(born), 0) / time.Millisecond)
}

// received returns the offers of a message. A missing age counts as zero.
func (d *Distributor) received(envelopes [][]byte, agesMs []uint64) []offer {
	now := d.cfg.Clock.Now()
	var offers []offer
	for i, encoded := range envelopes {
		born := now
		if i < len(agesMs) {
			born = now.Add(-time.Duration(min(agesMs[i], maxAgeMs)) * time.Millisecond)
		}
		offers = append(offers, offer{encoded, born})
	}
	return offers
}

// maxAgeMs is a year; it keeps a false age from overflowing a duration.
const maxAgeMs = 365 * 24 * 3600 * 1000
