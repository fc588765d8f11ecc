package approver

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
)

const pemType = "PRIVATE KEY"

// Signer approves envelopes with one private key.
type Signer struct{ private ed25519.PrivateKey }

// NewSigner returns a signer with the private key.
func NewSigner(private ed25519.PrivateKey) Signer { return Signer{private} }

// GenerateSigner returns a signer with a new key.
func GenerateSigner() (Signer, error) {
	_, private, err := ed25519.GenerateKey(rand.Reader)
	return Signer{private}, err
}

// ReadSigner reads a private key file in PKCS #8 PEM form.
func ReadSigner(file string) (Signer, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Signer{}, err
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemType {
		return Signer{}, fmt.Errorf("%s: no PEM block %q", file, pemType)
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return Signer{}, fmt.Errorf("%s: %w", file, err)
	}
	private, ok := key.(ed25519.PrivateKey)
	if !ok {
		return Signer{}, fmt.Errorf("%s: not an Ed25519 key", file)
	}
	return Signer{private}, nil
}

// WriteFile writes the private key to a new file that only its owner can read.
func (s Signer) WriteFile(file string) error {
	der, err := x509.MarshalPKCS8PrivateKey(s.private)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	err = pem.Encode(f, &pem.Block{Type: pemType, Bytes: der})
	return errors.Join(err, f.Close())
}

// Key returns the public key.
func (s Signer) Key() OwnerKey { return NewOwnerKey(s.private.Public().(ed25519.PublicKey)) }

// Approve returns the approval of the envelope in the owner's name.
func (s Signer) Approve(e Envelope, owner string) Approval {
	id := s.Key().ID
	return Approval{Owner: owner, KeyID: id, Signature: ed25519.Sign(s.private, e.signedBytes(owner, id))}
}
