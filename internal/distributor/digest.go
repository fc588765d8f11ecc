package distributor

import (
	"context"
	"math/rand/v2"
	"time"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/messenger/wire"
)

// maxSyncRounds limits the rounds of one sync; several are needed if a response
// cannot hold everything that is newer.
const maxSyncRounds = 64

// digestLoop runs the anti-entropy exchange with one random peer at a time.
func (d *Distributor) digestLoop() {
	for {
		if m, ok := d.randomPeer(); ok {
			if err := d.syncFrom(m); err != nil && d.ctx.Err() == nil {
				d.cfg.Log.WithError(err).WithField("instance", m.Instance).Debug("distributor: digest exchange failed")
			}
		}
		if !d.sleep(d.digestDelay()) {
			return
		}
	}
}

// digestDelay returns the time until the next exchange. It varies by 10 %, so
// that instances that started together do not stay in step.
func (d *Distributor) digestDelay() time.Duration {
	if !d.isSynced() {
		return initialSyncInterval
	}
	interval := d.cfg.DigestInterval
	return interval*9/10 + rand.N(interval/5+1)
}

func (d *Distributor) randomPeer() (enroller.Member, bool) {
	self := d.self().Instance
	var peers []enroller.Member
	for _, m := range d.cfg.Directory.Members() {
		if m.Instance != self {
			peers = append(peers, m)
		}
	}
	if len(peers) == 0 {
		return enroller.Member{}, false
	}
	return peers[rand.IntN(len(peers))], true
}

// syncFrom fetches everything that is newer at the peer.
func (d *Distributor) syncFrom(m enroller.Member) error {
	newer, err := d.newerAt(m)
	for range maxSyncRounds {
		if err != nil {
			return err
		}
		if len(newer) == 0 {
			if d.hasConfiguration() {
				d.markSynced()
			}
			return nil
		}
		before := len(newer)
		if err = d.fetch(m, newer); err != nil {
			return err
		}
		// Without progress, the rest cannot be verified or the peer does not
		// hold it any more.
		if newer, err = d.newerAt(m); err == nil && len(newer) >= before {
			return nil
		}
	}
	return nil
}

// newerAt returns the parts that are newer at the peer.
func (d *Distributor) newerAt(m enroller.Member) (newer []string, err error) {
	err = d.call(m, func(ctx context.Context, c wire.DRPCManifestsClient) error {
		d.counters.digests.Inc(1)
		d.mu.Lock()
		hash := d.set.digest
		d.mu.Unlock()
		resp, err := c.Digest(ctx, &wire.DigestRequest{Header: d.header(), Hash: hash})
		if err != nil {
			return err
		}
		d.observe(resp.Header)
		d.mu.Lock()
		defer d.mu.Unlock()
		newer = d.set.newerParts(revisionsOf(resp.Parts))
		return nil
	})
	return newer, err
}

func revisionsOf(parts []*wire.PartRevision) []partRevision {
	var list []partRevision
	for _, p := range parts {
		list = append(list, partRevision{p.Part, p.Revision})
	}
	return list
}

// fetch requests the parts from the peer and applies the response.
func (d *Distributor) fetch(m enroller.Member, parts []string) error {
	return d.call(m, func(ctx context.Context, c wire.DRPCManifestsClient) error {
		d.counters.fetches.Inc(1)
		resp, err := c.Fetch(ctx, &wire.FetchRequest{Header: d.header(), Parts: parts})
		if err != nil {
			return err
		}
		d.observe(resp.Header)
		out := d.accept(d.envelopesOfMessage(resp.Envelopes, resp.AgesMs), fromPeer)
		if out.needsOwners {
			return d.fetchOwners(ctx, c)
		}
		return nil
	})
}

// fetchOwners fetches the peer's owners chain; the envelopes that need it
// follow in the next round of syncFrom.
func (d *Distributor) fetchOwners(ctx context.Context, c wire.DRPCManifestsClient) error {
	resp, err := c.Fetch(ctx, &wire.FetchRequest{Header: d.header(), Parts: []string{checker.OwnersPart}})
	if err != nil {
		return err
	}
	d.accept(d.envelopesOfMessage(resp.Envelopes, resp.AgesMs), fromPeer)
	return nil
}
