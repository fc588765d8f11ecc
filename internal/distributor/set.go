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

// set holds the proven envelopes and what is in force. It is not safe for
// concurrent use.
type set struct {
	chain   *approver.Chain
	born    map[uint64]time.Time // By owners revision.
	since   map[uint64]time.Time // By owners revision.
	parts   map[string]*part
	names   *checker.NameIndex // Of the parts in force.
	catalog *checker.Catalog
	// sequence orders the parts by when they first came into force.
	sequence uint64
	digest   []byte
	refused  map[[sha256.Size]byte]bool
}

// part is one customer's part.
type part struct {
	name string
	// proven is the newest proven envelope. It takes part in the digest.
	proven *held
	// inForce is the newest proven envelope whose content is usable, or nil.
	inForce  *held
	manifest checker.Manifest
	order    uint64
	since    time.Time
	// findings say why proven is not in force.
	findings checker.Findings
}

func newSet(genesis []approver.Owner) (*set, error) {
	chain, err := approver.NewChain(genesis)
	if err != nil {
		return nil, err
	}
	s := &set{
		chain:   chain,
		born:    map[uint64]time.Time{},
		since:   map[uint64]time.Time{},
		parts:   map[string]*part{},
		names:   checker.NewNameIndex(),
		catalog: checker.NewCatalog(),
		refused: map[[sha256.Size]byte]bool{},
	}
	s.updateDigest()
	return s, nil
}

// apply takes in every offer that is proven and newer than what is held.
func (s *set) apply(offers []offer, now time.Time) outcome {
	var out outcome
	for _, h := range s.decode(offers, &out) {
		if h.envelope.IsOwners() {
			s.applyOwners(h, now, &out)
		} else {
			s.applyPart(h, &out)
		}
	}
	if len(out.proven) > 0 {
		s.updateDigest()
		s.enforce(now, &out)
	}
	return out
}

// decode returns the envelopes in ascending order, owners revisions first.
func (s *set) decode(offers []offer, out *outcome) []*held {
	var list []*held
	for _, o := range offers {
		e, err := approver.Decode(o.encoded)
		if err != nil {
			s.refuse(o.encoded, err, out)
			continue
		}
		list = append(list, &held{envelope: e, hash: e.Hash(), encoded: o.encoded, born: o.born})
	}
	slices.SortStableFunc(list, func(a, b *held) int {
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

func (s *set) applyOwners(h *held, now time.Time, out *outcome) {
	if known, ok := s.chain.Find(h.revision()); ok {
		if known.Hash() != h.hash {
			s.applyConflict(h, out)
		}
		return
	}
	if h.revision() < s.chain.HeadRevision() {
		return
	}
	longer, err := s.chain.Extend(h.envelope)
	if errors.Is(err, &approver.VerifyError{Reason: approver.ReasonOwnersRevision}) {
		out.needsOwners = true
		return
	}
	if err != nil {
		s.refuse(h.encoded, err, out)
		return
	}
	s.chain = longer
	s.born[h.revision()], s.since[h.revision()] = h.born, now
	out.proven = append(out.proven, h)
}

func (s *set) applyPart(h *held, out *outcome) {
	p := s.parts[h.envelope.Part]
	if p != nil && h.revision() < p.proven.revision() {
		return
	}
	if p != nil && h.revision() == p.proven.revision() {
		if p.proven.hash != h.hash {
			s.applyConflict(h, out)
		}
		return
	}
	err := s.chain.Verify(h.envelope)
	if errors.Is(err, &approver.VerifyError{Reason: approver.ReasonOwnersRevision}) {
		out.needsOwners = true
		return
	}
	if err != nil {
		s.refuse(h.encoded, err, out)
		return
	}
	if p == nil {
		p = &part{name: h.envelope.Part}
		s.parts[p.name] = p
	}
	p.proven = h
	out.proven = append(out.proven, h)
}

// applyConflict raises an alarm only when both co-owners signed the second
// envelope too; otherwise it is a forgery.
func (s *set) applyConflict(h *held, out *outcome) {
	if err := s.chain.VerifySignatures(h.envelope); err != nil {
		s.refuse(h.encoded, err, out)
		return
	}
	if s.remember(h.encoded) {
		out.conflicts = append(out.conflicts, h)
	}
}

func (s *set) refuse(encoded []byte, err error, out *outcome) {
	if s.remember(encoded) {
		out.refused = append(out.refused, err)
	}
}

// remember returns whether the bytes were not seen lately, so that a repeated
// offer is reported once.
func (s *set) remember(encoded []byte) bool {
	sum := sha256.Sum256(encoded)
	if s.refused[sum] {
		return false
	}
	if len(s.refused) >= maxRefusedMemory {
		clear(s.refused)
	}
	s.refused[sum] = true
	return true
}

// enforce brings proven envelopes into force. A part whose content is not
// usable, or clashes with another part, keeps its previous revision.
func (s *set) enforce(now time.Time, out *outcome) {
	for changed := true; changed; {
		changed = false
		for _, name := range slices.Sorted(maps.Keys(s.parts)) {
			p := s.parts[name]
			if p.inForce != p.proven && s.enforcePart(p, now) {
				out.enforced = append(out.enforced, p.inForce)
				changed = true
			}
		}
	}
	if len(out.enforced) > 0 {
		s.catalog = s.newCatalog()
	}
	for _, h := range out.proven {
		if p := s.parts[h.envelope.Part]; p != nil && p.inForce != p.proven {
			out.outOfForce = append(out.outOfForce, unusable{p.name, p.proven.revision(), p.findings})
		}
	}
}

func (s *set) enforcePart(p *part, now time.Time) bool {
	d, findings := approver.CheckContent(p.name, p.name, p.proven.envelope.Content)
	if len(findings) == 0 {
		findings = s.names.CheckConflicts(d)
	}
	if len(findings) > 0 {
		p.findings = findings
		return false
	}
	if p.inForce == nil {
		s.sequence++
		p.order = s.sequence
	}
	s.names.SetPart(d.Manifest)
	p.inForce, p.manifest, p.findings, p.since = p.proven, d.Manifest, nil, now
	return true
}

// newCatalog returns the content in force, oldest part first.
func (s *set) newCatalog() *checker.Catalog {
	var parts []*part
	for _, p := range s.parts {
		if p.inForce != nil {
			parts = append(parts, p)
		}
	}
	slices.SortFunc(parts, func(a, b *part) int { return cmp.Compare(a.order, b.order) })
	var manifests []checker.Manifest
	for _, p := range parts {
		manifests = append(manifests, p.manifest)
	}
	return checker.NewCatalog(manifests...)
}

// revisions returns the newest proven revision of each part, sorted by name.
func (s *set) revisions() []revision {
	var list []revision
	if head := s.chain.HeadRevision(); head > 0 {
		list = append(list, revision{checker.OwnersPart, head})
	}
	for name, p := range s.parts {
		list = append(list, revision{name, p.proven.revision()})
	}
	slices.SortFunc(list, func(a, b revision) int { return cmp.Compare(a.part, b.part) })
	return list
}

type revision struct {
	part   string
	number uint64
}

func (s *set) updateDigest() {
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

// newer returns the parts whose revision is higher in the list than here.
func (s *set) newer(list []revision) []string {
	var names []string
	for _, r := range list {
		held := uint64(0)
		if r.part == checker.OwnersPart {
			held = s.chain.HeadRevision()
		} else if p := s.parts[r.part]; p != nil {
			held = p.proven.revision()
		}
		if r.number > held {
			names = append(names, r.part)
		}
	}
	return names
}

// offers returns what is held of a part.
func (s *set) offers(name string) []offer {
	if name != checker.OwnersPart {
		if p := s.parts[name]; p != nil {
			return []offer{{p.proven.encoded, p.proven.born}}
		}
		return nil
	}
	return s.ownersOffers()
}

func (s *set) ownersOffers() []offer {
	var list []offer
	for _, encoded := range s.chain.Encoded() {
		e, err := approver.Decode(encoded)
		if err == nil {
			list = append(list, offer{encoded, s.born[e.Revision]})
		}
	}
	return list
}
