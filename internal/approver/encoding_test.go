package approver

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

func exampleEnvelope(t testing.TB) Envelope {
	b := newFixture(t)
	e := Envelope{Part: "a", Revision: 7, Predecessor: Hash{1, 2}, OwnersRevision: 3, Content: []byte(contentA("20"))}
	return e.WithApproval(b.council.Approve(e, "council-unit")).WithApproval(b.coop.Approve(e, "cooperative"))
}

// TestEncodingIsCanonical guards against a second encoding of one envelope.
func TestEncodingIsCanonical(t *testing.T) {
	encoded := exampleEnvelope(t).Encode()
	decoded, err := Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(decoded.Encode(), encoded) {
		t.Error("encoding differs after decoding")
	}
	for i := range encoded {
		if _, err := Decode(encoded[:i]); err == nil {
			t.Fatalf("truncation to %d bytes is accepted", i)
		}
	}
	if _, err := Decode(append(encoded, 0)); err == nil {
		t.Error("trailing byte is accepted")
	}
	swapped := decoded
	swapped.Approvals = []Approval{decoded.Approvals[1], decoded.Approvals[0]}
	if _, err := Decode(swapped.Encode()); err == nil {
		t.Error("approvals in another order are accepted")
	}
}

// FuzzDecode guards against panics and against inputs that decode to an
// envelope with another encoding.
func FuzzDecode(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.envelope")
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add(exampleEnvelope(f).Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Decode(data)
		if err == nil && !bytes.Equal(e.Encode(), data) {
			t.Errorf("%x decodes and encodes to %x", data, e.Encode())
		}
		p, err := decodeProposal(data)
		if err == nil && !bytes.Equal(p.encode(), data) {
			t.Errorf("proposal %x encodes to %x", data, p.encode())
		}
	})
}
