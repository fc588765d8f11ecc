package distributor

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"time"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/checker"
)

// envelopeSet holds the owners chain, the newest verified envelope of each part
// and the active content. It is not safe for concurrent use.
type envelopeSet struct {
	chain               *approver.Chain
	ownersFirstReceived map[uint64]time.Time // By owners revision.
	ownersActiveSince   map[uint64]time.Time // By owners revision.
	parts               map[string]*partState
	names               *checker.NameIndex // Names that the active parts use.
	catalog             *checker.Catalog
	// activations counts the parts that ever became active; the count at a
	// part's first activation is its activationOrder.
	activations uint64
	digest      []byte
	// reported holds the hashes of the refused and conflicting envelopes that
	// were reported lately.
	reported map[[sha256.Size]byte]bool
}

// partState is the state of one customer's part.
type partState struct {
	name string
	// verified is the newest verified envelope. The digest covers its revision.
	verified *decodedEnvelope
	// active is the newest verified envelope whose content is valid, or nil.
	active *decodedEnvelope
	// manifest is the content of active.
	manifest        checker.Manifest
	activationOrder uint64
	activeSince     time.Time
	// findings say why verified is not active.
	findings checker.Findings
}

func newEnvelopeSet(genesis []approver.Owner) (*envelopeSet, error) {
	chain, err := approver.NewChain(genesis)
	if err != nil {
		return nil, err
	}
	s := &envelopeSet{
		chain:               chain,
		ownersFirstReceived: map[uint64]time.Time{},
		ownersActiveSince:   map[uint64]time.Time{},
		parts:               map[string]*partState{},
		names:               checker.NewNameIndex(),
		catalog:             checker.NewCatalog(),
		reported:            map[[sha256.Size]byte]bool{},
	}
	s.updateDigest()
	return s, nil
}

// apply verifies the envelopes that are newer than what the set holds, keeps
// the verified ones and activates what is valid.
func (s *envelopeSet) apply(envelopes []encodedEnvelope, now time.Time) applyResult {
	var out applyResult
	for _, e := range s.decode(envelopes, &out) {
		if e.envelope.IsOwners() {
			s.applyOwners(e, now, &out)
		} else {
			s.applyPart(e, &out)
		}
	}
	if len(out.verified) > 0 {
		s.updateDigest()
		s.activate(now, &out)
	}
	return out
}

// decode returns the envelopes in ascending order of revisions, owners
// revisions first.
func (s *envelopeSet) decode(envelopes []encodedEnvelope, out *applyResult) []*decodedEnvelope {
	var list []*decodedEnvelope
	for _, o := range envelopes {
		e, err := approver.Decode(o.encoded)
		if err != nil {
			s.refuse(o.encoded, err, out)
			continue
		}
		list = append(list, &decodedEnvelope{envelope: e, hash: e.Hash(), encoded: o.encoded, firstReceived: o.firstReceived})
	}
	slices.SortStableFunc(list, func(a, b *decodedEnvelope) int {
		return cmp.Or(-compareBool(a.envelope.IsOwners(), b.envelope.IsOwners()), cmp.Compare(a.revision(), b.revision()))
	})
	return list
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (s *envelopeSet) applyOwners(e *decodedEnvelope, now time.Time, out *applyResult) {
	if known, ok := s.chain.Find(e.revision()); ok {
		if known.Hash() != e.hash {
			s.handleConflict(e, out)
		}
		return
	}
	if e.revision() < s.chain.HeadRevision() {
		return
	}
	longer, err := s.chain.Extend(e.envelope)
	if errors.Is(err, &approver.VerifyError{Reason: approver.ReasonOwnersRevision}) {
		out.needsOwners = true
		return
	}
	if err != nil {
		s.refuse(e.encoded, err, out)
		return
	}
	s.chain = longer
	s.ownersFirstReceived[e.revision()], s.ownersActiveSince[e.revision()] = e.firstReceived, now
	out.verified = append(out.verified, e)
}

func (s *envelopeSet) applyPart(e *decodedEnvelope, out *applyResult) {
	p := s.parts[e.envelope.Part]
	if p != nil && e.revision() < p.verified.revision() {
		return
	}
	if p != nil && e.revision() == p.verified.revision() {
		if p.verified.hash != e.hash {
			s.handleConflict(e, out)
		}
		return
	}
	err := s.chain.Verify(e.envelope)
	if errors.Is(err, &approver.VerifyError{Reason: approver.ReasonOwnersRevision}) {
		out.needsOwners = true
		return
	}
	if err != nil {
		s.refuse(e.encoded, err, out)
		return
	}
	if p == nil {
		p = &partState{name: e.envelope.Part}
		s.parts[p.name] = p
	}
	p.verified = e
	out.verified = append(out.verified, e)
}

// handleConflict handles another envelope of a known revision. It is a conflict
// only if both co-owners signed it too; otherwise it is a forgery.
func (s *envelopeSet) handleConflict(e *decodedEnvelope, out *applyResult) {
	if err := s.chain.VerifySignatures(e.envelope); err != nil {
		s.refuse(e.encoded, err, out)
		return
	}
	if s.markReported(e.encoded) {
		out.conflicts = append(out.conflicts, e)
	}
}

func (s *envelopeSet) refuse(encoded []byte, err error, out *applyResult) {
	if s.markReported(encoded) {
		out.refused = append(out.refused, err)
	}
}

// markReported reports whether the envelope was not reported lately, so that a
// repeated one is reported once.
func (s *envelopeSet) markReported(encoded []byte) bool {
	sum := sha256.Sum256(encoded)
	if s.reported[sum] {
		return false
	}
	if len(s.reported) >= maxReported {
		clear(s.reported)
	}
	s.reported[sum] = true
	return true
}

// activate activates verified envelopes. A part whose content is not valid, or
// has a name conflict with another part, keeps its previous revision. It repeats
// until nothing changes, because a new revision may resolve the name conflict of
// another part.
func (s *envelopeSet) activate(now time.Time, out *applyResult) {
	for changed := true; changed; {
		changed = false
		for _, name := range slices.Sorted(maps.Keys(s.parts)) {
			p := s.parts[name]
			if p.active != p.verified && s.activatePart(p, now) {
				out.activated = append(out.activated, p.active)
				changed = true
			}
		}
	}
	if len(out.activated) > 0 {
		s.catalog = s.newCatalog()
	}
	for _, e := range out.verified {
		if p := s.parts[e.envelope.Part]; p != nil && p.active != p.verified {
			out.unusable = append(out.unusable, unusableRevision{p.name, p.verified.revision(), p.findings})
		}
	}
}

func (s *envelopeSet) activatePart(p *partState, now time.Time) bool {
	d, findings := approver.CheckContent(p.name, p.name, p.verified.envelope.Content)
	if len(findings) == 0 {
		findings = s.names.CheckConflicts(d)
	}
	if len(findings) > 0 {
		p.findings = findings
		return false
	}
	if p.active == nil {
		s.activations++
		p.activationOrder = s.activations
	}
	s.names.SetPart(d.Manifest)
	p.active, p.manifest, p.findings, p.activeSince = p.verified, d.Manifest, nil, now
	return true
}

// newCatalog returns the active content, in the order in which the parts first
// became active.
func (s *envelopeSet) newCatalog() *checker.Catalog {
	var parts []*partState
	for _, p := range s.parts {
		if p.active != nil {
			parts = append(parts, p)
		}
	}
	slices.SortFunc(parts, func(a, b *partState) int { return cmp.Compare(a.activationOrder, b.activationOrder) })
	var manifests []checker.Manifest
	for _, p := range parts {
		manifests = append(manifests, p.manifest)
	}
	return checker.NewCatalog(manifests...)
}

// revisions returns the newest verified revision of each part, sorted by name.
func (s *envelopeSet) revisions() []partRevision {
	var list []partRevision
	if head := s.chain.HeadRevision(); head > 0 {
		list = append(list, partRevision{checker.OwnersPart, head})
	}
	for name, p := range s.parts {
		list = append(list, partRevision{name, p.verified.revision()})
	}
	slices.SortFunc(list, func(a, b partRevision) int { return cmp.Compare(a.part, b.part) })
	return list
}

type partRevision struct {
	part   string
	number uint64
}

func (s *envelopeSet) updateDigest() {
	h := sha256.New()
	for _, r := range s.revisions() {
		var b []byte
		b = binary.BigEndian.AppendUint32(b, uint32(len(r.part)))
		b = append(b, r.part...)
		b = binary.BigEndian.AppendUint64(b, r.number)
		h.Write(b)
	}
	s.digest = h.Sum(nil)
}

// newerParts returns the parts whose revision in the list is higher than the
// set's own.
func (s *envelopeSet) newerParts(list []partRevision) []string {
	var names []string
	for _, r := range list {
		own := uint64(0)
		if r.part == checker.OwnersPart {
			own = s.chain.HeadRevision()
		} else if p := s.parts[r.part]; p != nil {
			own = p.verified.revision()
		}
		if r.number > own {
			names = append(names, r.part)
		}
	}
	return names
}

// envelopes returns the newest verified envelope of a part; for the owners part
// it returns the whole chain.
func (s *envelopeSet) envelopes(name string) []encodedEnvelope {
	if name != checker.OwnersPart {
		if p := s.parts[name]; p != nil {
			return []encodedEnvelope{{p.verified.encoded, p.verified.firstReceived}}
		}
		return nil
	}
	return s.ownersEnvelopes()
}

func (s *envelopeSet) ownersEnvelopes() []encodedEnvelope {
	var list []encodedEnvelope
	for _, encoded := range s.chain.Encoded() {
		e, err := approver.Decode(encoded)
		if err == nil {
			list = append(list, encodedEnvelope{encoded, s.ownersFirstReceived[e.Revision]})
		}
	}
	return list
}
