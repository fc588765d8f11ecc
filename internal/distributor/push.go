package distributor

import (
	"context"
	"math/rand/v2"
	"time"

	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/messenger/wire"
)

// push sends new envelopes to the members of this zone and to one member of
// each other zone, which forwards them to its zone. It does not wait.
func (d *Distributor) push(envelopes []*decodedEnvelope) {
	if len(envelopes) == 0 || d.cfg.Mode == EveryInstanceWatches {
		return
	}
	self := d.self()
	others := map[string][]enroller.Member{}
	for _, m := range d.cfg.Directory.Members() {
		if m.Zone != self.Zone {
			others[m.Zone] = append(others[m.Zone], m)
		}
	}
	d.pushToZone(envelopes, self.Instance)
	for _, members := range others {
		d.pushTo(members[rand.IntN(len(members))], envelopes, true)
	}
}

// pushToZone sends new envelopes to the members of this zone other than this
// instance and the sender.
func (d *Distributor) pushToZone(envelopes []*decodedEnvelope, sender string) {
	self := d.self()
	for _, m := range d.cfg.Directory.Members() {
		if m.Zone == self.Zone && m.Instance != self.Instance && m.Instance != sender {
			d.pushTo(m, envelopes, false)
		}
	}
}

func (d *Distributor) pushTo(m enroller.Member, envelopes []*decodedEnvelope, forward bool) {
	d.start(func() {
		select {
		case d.pushSlots <- struct{}{}:
		case <-d.ctx.Done():
			return
		}
		defer func() { <-d.pushSlots }()
		for _, batch := range splitBySize(envelopes) {
			d.counters.pushes.Inc(1)
			if err := d.sendPush(m, batch, forward); err != nil && d.ctx.Err() == nil {
				// The digest exchange repairs a lost push.
				d.counters.pushErrors.Inc(1)
				d.cfg.Log.WithError(err).WithField("instance", m.Instance).Debug("distributor: push failed")
			}
		}
	})
}

// splitBySize splits the list into batches of at most maxBatchBytes, or of one
// envelope, keeping the order.
func splitBySize(envelopes []*decodedEnvelope) [][]*decodedEnvelope {
	var batches [][]*decodedEnvelope
	size := maxBatchBytes
	for _, e := range envelopes {
		if size+len(e.encoded) > maxBatchBytes {
			batches = append(batches, nil)
			size = 0
		}
		last := len(batches) - 1
		batches[last] = append(batches[last], e)
		size += len(e.encoded)
	}
	return batches
}

func (d *Distributor) sendPush(m enroller.Member, envelopes []*decodedEnvelope, forward bool) error {
	return d.call(m, func(ctx context.Context, c wire.DRPCManifestsClient) error {
		req := &wire.PushRequest{Header: d.header(), Forward: forward}
		for _, e := range envelopes {
			req.Envelopes = append(req.Envelopes, e.encoded)
			req.AgesMs = append(req.AgesMs, d.ageMs(e.firstReceived))
		}
		resp, err := c.Push(ctx, req)
		if err == nil {
			d.observe(resp.Header)
		}
		return err
	})
}

// call runs one call to a peer.
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
	d.markContact()
	return nil
}

func (d *Distributor) header() *wire.Header {
	return &wire.Header{Instance: d.self().Instance, Lamport: d.cfg.Recorder.Tick()}
}

func (d *Distributor) observe(h *wire.Header) { d.cfg.Recorder.Observe(h.GetLamport()) }

// ageMs returns the time since firstReceived in milliseconds.
func (d *Distributor) ageMs(firstReceived time.Time) uint64 {
	return uint64(max(d.cfg.Clock.Since(firstReceived), 0) / time.Millisecond)
}

// envelopesOfMessage returns the envelopes of a message. A missing age counts
// as zero.
func (d *Distributor) envelopesOfMessage(envelopes [][]byte, agesMs []uint64) []encodedEnvelope {
	now := d.cfg.Clock.Now()
	var list []encodedEnvelope
	for i, encoded := range envelopes {
		firstReceived := now
		if i < len(agesMs) {
			firstReceived = now.Add(-time.Duration(min(agesMs[i], maxAgeMs)) * time.Millisecond)
		}
		list = append(list, encodedEnvelope{encoded, firstReceived})
	}
	return list
}

// maxAgeMs is a year; the limit keeps a false age from overflowing a duration.
const maxAgeMs = 365 * 24 * 3600 * 1000
