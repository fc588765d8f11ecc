package approver

import (
	"errors"
	"time"
)

const (
	proposalDomain = "marigoldhub/proposal/v1"
	nonceSize      = 16 // bytes
)

// Proposal is the open proposal of a part.
type Proposal struct {
	Envelope Envelope
	// Proposer names the operator, for information only.
	Proposer string
	// Proposed is the time by the proposer's clock, for information only.
	Proposed time.Time
	// nonce lets the proposer recognise its own write after a lost response.
	nonce string
}

func (p Proposal) encode() []byte {
	w := encoder{}
	w.text(proposalDomain)
	w.bytes(p.Envelope.Encode())
	w.text(p.Proposer)
	w.number(uint64(p.Proposed.UnixMilli()))
	w.text(p.nonce)
	return w.buf
}

func decodeProposal(data []byte) (Proposal, error) {
	r := decoder{data: data}
	if domain := r.text(); r.err == nil && domain != proposalDomain {
		return Proposal{}, errors.New("proposal has an unknown domain")
	}
	encoded := r.bytes(MaxEnvelopeSize)
	p := Proposal{Proposer: r.text(), Proposed: time.UnixMilli(int64(r.number())).UTC(), nonce: r.text()}
	if r.err != nil || len(r.data) > 0 {
		return Proposal{}, firstError(r.err, errors.New("trailing bytes"))
	}
	var err error
	p.Envelope, err = Decode(encoded)
	return p, err
}
