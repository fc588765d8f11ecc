package approver

import (
	"crypto/ed25519"
	"encoding/binary"
	"errors"

	"marigoldhub.example/hub/internal/storer"
)

const (
	// MaxEnvelopeSize is the largest encoded envelope in bytes. The margin
	// below the store's limit leaves room for the fields of a proposal.
	MaxEnvelopeSize = storer.MaxValueSize - 4096
	maxNameSize     = 255 // bytes
	maxApprovals    = 16
)

// Encode returns the canonical encoding: numbers as 8 bytes in big-endian
// order, everything else prefixed by its length in 4 bytes.
func (e Envelope) Encode() []byte {
	w := encoder{}
	w.text(Domain)
	e.encodeBody(&w)
	w.length(len(e.Approvals))
	for _, a := range e.Approvals {
		w.text(a.Owner)
		w.text(a.KeyID)
		w.bytes(a.Signature)
	}
	return w.buf
}

func (e Envelope) encodeBody(w *encoder) {
	w.text(e.Part)
	w.number(e.Revision)
	w.bytes(e.Predecessor[:])
	w.number(e.OwnersRevision)
	w.bytes(e.Content)
}

// Decode parses a canonical encoding. It accepts no other form, so an envelope
// has exactly one encoding. The result aliases data. Errors are a VerifyError
// with ReasonEncoding.
func Decode(data []byte) (Envelope, error) {
	if len(data) > MaxEnvelopeSize {
		return Envelope{}, encodingError("envelope exceeds the size limit")
	}
	r := decoder{data: data}
	if domain := r.text(); r.err == nil && domain != Domain {
		return Envelope{}, encodingError("envelope has an unknown domain")
	}
	e := r.envelope()
	if r.err == nil && len(r.data) > 0 {
		r.err = errors.New("trailing bytes")
	}
	if r.err != nil {
		return Envelope{}, encodingError(r.err.Error())
	}
	return e, nil
}

func (r *decoder) envelope() Envelope {
	e := Envelope{Part: r.text(), Revision: r.number()}
	hash := r.bytes(len(e.Predecessor))
	if r.err == nil && copy(e.Predecessor[:], hash) != len(e.Predecessor) {
		r.err = errors.New("predecessor hash has a wrong length")
	}
	e.OwnersRevision = r.number()
	e.Content = r.bytes(MaxEnvelopeSize)
	n := r.length(maxApprovals)
	for range n {
		a := Approval{Owner: r.text(), KeyID: r.text(), Signature: r.bytes(ed25519.SignatureSize)}
		if i := len(e.Approvals); r.err == nil && i > 0 && e.Approvals[i-1].compare(a) >= 0 {
			r.err = errors.New("approvals are not in ascending order")
		}
		e.Approvals = append(e.Approvals, a)
	}
	return e
}

// encoder appends fields to a buffer.
type encoder struct{ buf []byte }

func (w *encoder) length(n int)    { w.buf = binary.BigEndian.AppendUint32(w.buf, uint32(n)) }
func (w *encoder) number(n uint64) { w.buf = binary.BigEndian.AppendUint64(w.buf, n) }

func (w *encoder) bytes(b []byte) {
	w.length(len(b))
	w.buf = append(w.buf, b...)
}

func (w *encoder) text(s string) {
	w.length(len(s))
	w.buf = append(w.buf, s...)
}

// decoder consumes fields. After the first error all reads return zero values.
type decoder struct {
	data []byte
	err  error
}

func (r *decoder) take(n int) []byte {
	if r.err != nil || n > len(r.data) {
		r.err = firstError(r.err, errors.New("truncated"))
		return nil
	}
	b := r.data[:n:n]
	r.data = r.data[n:]
	return b
}

func (r *decoder) length(limit int) int {
	b := r.take(4)
	if b == nil {
		return 0
	}
	n := binary.BigEndian.Uint32(b)
	if uint64(n) > uint64(limit) {
		r.err = firstError(r.err, errors.New("length exceeds its limit"))
		return 0
	}
	return int(n)
}

func (r *decoder) number() uint64 {
	b := r.take(8)
	if b == nil {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func (r *decoder) bytes(limit int) []byte { return r.take(r.length(limit)) }

func (r *decoder) text() string { return string(r.bytes(maxNameSize)) }

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
