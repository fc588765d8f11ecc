package informer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// KeyDigest is the SHA-256 digest of a team's key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// fingerprintDigits is the length of a fingerprint: 48 bits tell the keys of an
// installation apart.
const fingerprintDigits = 12

// String returns the digest in hexadecimal digits.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }

// Fingerprint returns the first digits of the digest, which name the key in logs.
func (d KeyDigest) Fingerprint() string { return d.String()[:fingerprintDigits] }

// MarshalText implements [encoding.TextMarshaler].
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler]. Errors do not contain the text,
// which may be a key that was written in place of its digest.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("a key digest has %d hexadecimal digits, this one has %d characters", hex.EncodedLen(len(d)), len(text))
	}
	var digest KeyDigest
	if _, err := hex.Decode(digest[:], text); err != nil {
		return fmt.Errorf("a key digest has %d hexadecimal digits, this one has another character", hex.EncodedLen(len(d)))
	}
	*d = digest
	return nil
}
