package keyer

import (
	"crypto/rand"
	"encoding/base64"
	"os"

	"github.com/go-faster/errors"
)

const (
	// teamKeyBytes is the entropy of a team's key. It is high enough that a plain digest
	// of the key can be published.
	teamKeyBytes = 32
	// teamKeyPrefix keeps a key from being taken for a digest, which has hexadecimal
	// digits only.
	teamKeyPrefix = "mk_"
)

// GenerateTeamKey writes a new key of a team to a new file that only its owner can
// read, and returns it.
func GenerateTeamKey(path string) (string, error) {
	random := make([]byte, teamKeyBytes)
	_, _ = rand.Read(random) // never fails since Go 1.24
	key := teamKeyPrefix + base64.RawURLEncoding.EncodeToString(random)
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return "", errors.Wrap(err, "write key file")
	}
	if _, err = f.WriteString(key + "\n"); err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return "", errors.Wrap(err, "write key file")
	}
	return key, nil
}
