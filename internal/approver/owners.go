package approver

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"marigoldhub.example/hub/internal/checker"
)

// ownerCount is the number of co-owners. Each of them must approve.
const ownerCount = 2

// Owners is the content of the part "owners".
type Owners struct {
	Part   string  `toml:"part"`
	Owners []Owner `toml:"owner"`
}

// Owner is one co-owner with its keys. An approval with any one of the keys
// counts as the owner's.
type Owner struct {
	Name string     `toml:"name"`
	Keys []OwnerKey `toml:"key"`
}

// OwnerKey is a public key of a co-owner.
type OwnerKey struct {
	// ID is the result of [KeyID] for the public key.
	ID string `toml:"id"`
	// Public is the Ed25519 public key in base64.
	Public string `toml:"public"`
}

// KeyID returns the ID of a public key: the first 16 hexadecimal digits of its
// SHA-256 hash.
func KeyID(public ed25519.PublicKey) string {
	sum := sha256.Sum256(public)
	return hex.EncodeToString(sum[:8])
}

// NewOwnerKey returns the public key with its ID.
func NewOwnerKey(public ed25519.PublicKey) OwnerKey {
	return OwnerKey{ID: KeyID(public), Public: base64.StdEncoding.EncodeToString(public)}
}

func (k OwnerKey) public() (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(k.Public)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("must be base64 of %d bytes", ed25519.PublicKeySize)
	}
	return raw, nil
}

// CheckOwners parses and checks the content of the part "owners": exactly two
// co-owners, each with at least one key, and no key in two places.
func CheckOwners(file string, data []byte) (Owners, checker.Findings) {
	o, r := checker.DecodeWithReport[Owners](file, data)
	if r.HasSyntaxError() {
		return o, r.Findings()
	}
	if r.Require("part") && o.Part != checker.OwnersPart {
		r.Add("part", "must be %q", checker.OwnersPart)
	}
	CheckOwnerList(r, "owner", o.Owners)
	return o, r.Findings()
}

// CheckOwnerList adds findings about the list of co-owners at the key. Checks of settings files use it for the genesis keys.
func CheckOwnerList(r *checker.Report, key string, owners []Owner) {
	if len(owners) != ownerCount {
		r.Add(key, "there must be exactly %d co-owners, not %d", ownerCount, len(owners))
	}
	names, ids := map[string]bool{}, map[string]bool{}
	for i, o := range owners {
		at := fmt.Sprintf("%s[%d]", key, i)
		if r.Require(at+".name") && (strings.TrimSpace(o.Name) == "" || len(o.Name) > maxNameSize) {
			r.Add(at+".name", "must have from 1 to %d bytes", maxNameSize)
		}
		if names[o.Name] {
			r.Add(at+".name", "co-owner %q appears twice", o.Name)
		}
		names[o.Name] = true
		if len(o.Keys) == 0 {
			r.Add(at+".key", "at least one key is required")
		}
		for j, k := range o.Keys {
			checkOwnerKey(r, fmt.Sprintf("%s.key[%d]", at, j), k, ids)
		}
	}
}

func checkOwnerKey(r *checker.Report, at string, k OwnerKey, ids map[string]bool) {
	if !r.Require(at+".public") || !r.Require(at+".id") {
		return
	}
	public, err := k.public()
	if err != nil {
		r.Add(at+".public", "%s", err)
		return
	}
	id := KeyID(public)
	if k.ID != id {
		r.Add(at+".id", "must be %q for this public key", id)
	}
	if ids[id] {
		r.Add(at+".public", "key %q appears twice", id)
	}
	ids[id] = true
}

// FormatOwners returns the content of the part "owners" as TOML.
func FormatOwners(owners []Owner) string {
	data, err := toml.Marshal(Owners{Part: checker.OwnersPart, Owners: owners})
	if err != nil {
		panic(err) // The type holds only strings.
	}
	return string(data)
}

// ownerSet holds the public keys of co-owners by owner name and key ID.
type ownerSet map[string]map[string]ed25519.PublicKey

func newOwnerSet(owners []Owner) ownerSet {
	set := ownerSet{}
	for _, o := range owners {
		keys := map[string]ed25519.PublicKey{}
		for _, k := range o.Keys {
			if public, err := k.public(); err == nil && KeyID(public) == k.ID {
				keys[k.ID] = public
			}
		}
		set[o.Name] = keys
	}
	return set
}

// ownerOfKey returns the name of the owner of a key.
func (s ownerSet) ownerOfKey(keyID string) (owner string, ok bool) {
	for name, keys := range s {
		if _, ok := keys[keyID]; ok {
			return name, true
		}
	}
	return "", false
}

// checkApproval verifies one approval of the envelope.
func (s ownerSet) checkApproval(e Envelope, a Approval) error {
	keys, ok := s[a.Owner]
	if !ok {
		return e.verifyError(ReasonUnknownOwner, a.Owner)
	}
	public, ok := keys[a.KeyID]
	if !ok {
		return e.verifyError(ReasonUnknownKey, a.KeyID)
	}
	if !ed25519.Verify(public, e.signedBytes(a.Owner, a.KeyID), a.Signature) {
		return e.verifyError(ReasonSignature, a.Owner)
	}
	return nil
}

// checkApprovals verifies all approvals and returns how many different
// co-owners gave them.
func (s ownerSet) checkApprovals(e Envelope) (int, error) {
	approved := map[string]bool{}
	for _, a := range e.Approvals {
		if err := s.checkApproval(e, a); err != nil {
			return 0, err
		}
		approved[a.Owner] = true
	}
	return len(approved), nil
}

// verify verifies all approvals and requires one from each co-owner.
func (s ownerSet) verify(e Envelope) error {
	n, err := s.checkApprovals(e)
	if err != nil {
		return err
	}
	if n < ownerCount {
		return e.verifyError(ReasonMissingOwner, fmt.Sprintf("%d of %d", n, ownerCount))
	}
	return nil
}
