package distributor

import (
	"bytes"
	"context"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/messenger/wire"
)

// service answers the calls of peers.
type service struct{ d *Distributor }

var _ wire.DRPCManifestsServer = (*service)(nil)

// Digest implements wire.DRPCManifestsServer. It lists the revisions only if
// the digests differ.
func (s *service) Digest(_ context.Context, req *wire.DigestRequest) (*wire.DigestResponse, error) {
	d := s.d
	d.observe(req.Header)
	d.markContact()
	d.mu.Lock()
	resp := &wire.DigestResponse{Hash: d.set.digest}
	if !bytes.Equal(req.Hash, d.set.digest) {
		for _, r := range d.set.revisions() {
			resp.Parts = append(resp.Parts, &wire.PartRevision{Part: r.part, Revision: r.number})
		}
	}
	d.mu.Unlock()
	resp.Header = d.header()
	return resp, nil
}

// Fetch implements wire.DRPCManifestsServer. If the envelopes do not fit in one
// response, it holds some of them and the peer asks again. The owners chain
// comes first, because the other parts need it.
func (s *service) Fetch(_ context.Context, req *wire.FetchRequest) (*wire.FetchResponse, error) {
	d := s.d
	d.observe(req.Header)
	resp := &wire.FetchResponse{}
	size := 0
	for _, name := range ownersFirst(req.Parts) {
		d.mu.Lock()
		envelopes := d.set.envelopes(name)
		d.mu.Unlock()
		for _, e := range envelopes {
			if size > 0 && size+len(e.encoded) > maxBatchBytes {
				break
			}
			size += len(e.encoded)
			resp.Envelopes = append(resp.Envelopes, e.encoded)
			resp.AgesMs = append(resp.AgesMs, d.ageMs(e.firstReceived))
		}
	}
	resp.Header = d.header()
	return resp, nil
}

func ownersFirst(parts []string) []string {
	var list []string
	for _, name := range parts {
		if name == checker.OwnersPart {
			list = append([]string{name}, list...)
		} else {
			list = append(list, name)
		}
	}
	return list
}

// Push implements wire.DRPCManifestsServer. It applies the envelopes and, if
// asked to, forwards the new ones to its zone. If an owners revision is missing,
// it starts a sync from the sender.
func (s *service) Push(_ context.Context, req *wire.PushRequest) (*wire.PushResponse, error) {
	d := s.d
	d.observe(req.Header)
	d.markContact()
	sender := req.Header.GetInstance()
	out := d.accept(d.envelopesOfMessage(req.Envelopes, req.AgesMs), fromPeer)
	if req.Forward && len(out.verified) > 0 {
		d.pushToZone(out.verified, sender)
	}
	if out.needsOwners {
		d.start(func() { d.syncFromInstance(sender) })
	}
	return &wire.PushResponse{Header: d.header()}, nil
}

// syncFromInstance runs syncFrom for the member with the given name.
func (d *Distributor) syncFromInstance(instance string) {
	for _, m := range d.cfg.Directory.Members() {
		if m.Instance == instance {
			if err := d.syncFrom(m); err != nil && d.ctx.Err() == nil {
				d.cfg.Log.WithError(err).WithField("instance", instance).Debug("distributor: digest exchange failed")
			}
		}
	}
}
