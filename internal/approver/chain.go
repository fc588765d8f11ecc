package approver

import (
	"errors"
	"fmt"
	"slices"
)

// Chain is the owners chain: the verified sequence of owners revisions from
// the genesis keys. It is immutable.
type Chain struct {
	genesis   ownerSet
	revisions []ownersRevision
}

// ownersRevision is one revision in the owners chain.
type ownersRevision struct {
	envelope Envelope
	encoded  []byte
	hash     Hash
	owners   ownerSet
}

// NewChain returns a chain that contains only the genesis keys.
func NewChain(genesis []Owner) (*Chain, error) {
	set := newOwnerSet(genesis)
	if len(set) != ownerCount {
		return nil, fmt.Errorf("genesis must name exactly %d co-owners", ownerCount)
	}
	seen := map[string]bool{}
	for _, o := range genesis {
		if len(set[o.Name]) != len(o.Keys) || len(o.Keys) == 0 {
			return nil, fmt.Errorf("genesis key of %q is missing or malformed", o.Name)
		}
		for _, k := range o.Keys {
			if seen[k.ID] {
				return nil, errors.New("genesis key appears twice")
			}
			seen[k.ID] = true
		}
	}
	return &Chain{genesis: set}, nil
}

// HeadRevision returns the newest owners revision, or 0 when only the genesis
// keys are known.
func (c *Chain) HeadRevision() uint64 {
	if len(c.revisions) == 0 {
		return 0
	}
	return c.revisions[len(c.revisions)-1].envelope.Revision
}

// HeadHash returns the hash of the newest owners revision, or the zero hash.
func (c *Chain) HeadHash() Hash {
	if len(c.revisions) == 0 {
		return Hash{}
	}
	return c.revisions[len(c.revisions)-1].hash
}

// Encoded returns the encoded owners revisions in ascending order.
func (c *Chain) Encoded() [][]byte {
	var list [][]byte
	for _, l := range c.revisions {
		list = append(list, l.encoded)
	}
	return list
}

// Find returns the envelope of an owners revision of the chain.
func (c *Chain) Find(revision uint64) (Envelope, bool) {
	i, ok := slices.BinarySearchFunc(c.revisions, revision, func(l ownersRevision, r uint64) int {
		return compareRevisions(l.envelope.Revision, r)
	})
	if !ok {
		return Envelope{}, false
	}
	return c.revisions[i].envelope, true
}

func compareRevisions(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (c *Chain) ownersAt(revision uint64) (ownerSet, bool) {
	if revision == 0 {
		return c.genesis, true
	}
	i, ok := slices.BinarySearchFunc(c.revisions, revision, func(l ownersRevision, r uint64) int {
		return compareRevisions(l.envelope.Revision, r)
	})
	if !ok {
		return nil, false
	}
	return c.revisions[i].owners, true
}

func (c *Chain) headOwners() ownerSet {
	set, _ := c.ownersAt(c.HeadRevision())
	return set
}

// Extend verifies the next owners revision and returns the longer chain. It
// returns a VerifyError when the envelope does not follow the head or is not
// approved by both co-owners of the head.
func (c *Chain) Extend(e Envelope) (*Chain, error) {
	if err := c.checkNext(e); err != nil {
		return nil, err
	}
	if err := c.headOwners().verify(e); err != nil {
		return nil, err
	}
	owners, findings := CheckOwners(e.Part, e.Content)
	if err := findings.Err(); err != nil {
		return nil, e.verifyError(ReasonContent, err.Error())
	}
	next := ownersRevision{envelope: e, encoded: e.Encode(), hash: e.Hash(), owners: newOwnerSet(owners.Owners)}
	return &Chain{genesis: c.genesis, revisions: append(slices.Clone(c.revisions), next)}, nil
}

// checkNext checks that the envelope follows the head. Revision numbers may be
// skipped, because the number of a withdrawn proposal is not used again.
func (c *Chain) checkNext(e Envelope) error {
	switch {
	case !e.IsOwners():
		return e.verifyError(ReasonPredecessor, "not an owners revision")
	case e.Revision <= c.HeadRevision():
		return e.verifyError(ReasonPredecessor, fmt.Sprintf("revision %d is the newest", c.HeadRevision()))
	case e.OwnersRevision != c.HeadRevision():
		return e.verifyError(ReasonOwnersRevision, fmt.Sprintf("revision %d is the newest, not %d", c.HeadRevision(), e.OwnersRevision))
	case e.Predecessor != c.HeadHash():
		return e.verifyError(ReasonPredecessor, "predecessor hash differs")
	}
	return nil
}

// ExtendAll adds the owners revisions of the list that the chain lacks, in
// ascending order of revision. With an error it returns the chain as far as it
// could be extended.
func (c *Chain) ExtendAll(envelopes []Envelope) (*Chain, error) {
	sorted := slices.SortedFunc(slices.Values(envelopes), func(a, b Envelope) int {
		return compareRevisions(a.Revision, b.Revision)
	})
	for _, e := range sorted {
		if known, ok := c.Find(e.Revision); ok && known.Hash() == e.Hash() {
			continue
		}
		longer, err := c.Extend(e)
		if err != nil {
			return c, err
		}
		c = longer
	}
	return c, nil
}

// Verify checks that the envelope of a customer's part is approved by both
// co-owners of its owners revision. It does not check the content. It returns a
// VerifyError; after ReasonOwnersRevision the envelope may verify against a
// longer chain.
func (c *Chain) Verify(e Envelope) error {
	if e.IsOwners() {
		return e.verifyError(ReasonPredecessor, "owners revisions are verified by the chain")
	}
	return c.VerifySignatures(e)
}

// VerifySignatures checks only that the envelope, of any part, is approved by
// both co-owners of its owners revision. It distinguishes a second, differing
// envelope of the same revision from a forged one.
func (c *Chain) VerifySignatures(e Envelope) error {
	set, ok := c.ownersAt(e.OwnersRevision)
	if !ok || e.OwnersRevision == 0 && !e.IsOwners() {
		return e.verifyError(ReasonOwnersRevision, fmt.Sprint(e.OwnersRevision))
	}
	return set.verify(e)
}
