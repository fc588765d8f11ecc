package keyer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/go-faster/errors"
)

// MinHMACKeyBytes is the length of the shortest key that is accepted.
const MinHMACKeyBytes = 32

// HMAC authenticates session tokens with HMAC-SHA-256. The first key of the
// file signs and all keys verify, so that keys can be rotated without
// invalidating tokens.
type HMAC struct {
	*watcher[[][]byte]
}

// NewHMAC loads the key file and watches it. The file holds one key per line
// in standard base64; empty lines and lines that start with "#" are ignored.
func NewHMAC(cfg Config, path string) (*HMAC, error) {
	w, err := newWatcher(cfg, []string{path}, func() ([][]byte, error) {
		data, err := readSecret(path)
		if err != nil {
			return nil, errors.Wrap(err, "read HMAC key file")
		}
		keys, err := parseKeys(string(data))
		if err != nil {
			return nil, errors.Wrapf(err, "HMAC key file %s", path)
		}
		return keys, nil
	})
	if err != nil {
		return nil, err
	}
	return &HMAC{w}, nil
}

// parseKeys parses the content of a key file. Its errors never quote the text.
func parseKeys(text string) ([][]byte, error) {
	var keys [][]byte
	line := 0
	for l := range strings.Lines(text) {
		line++
		l = strings.TrimSpace(l)
		if l == "" || strings.HasPrefix(l, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(l)
		if err != nil {
			return nil, errors.Errorf("line %d is not base64", line)
		}
		if len(key) < MinHMACKeyBytes {
			return nil, errors.Errorf("line %d: key is shorter than %d bytes", line, MinHMACKeyBytes)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, errors.New("no key in file")
	}
	return keys, nil
}

// TokenKeys returns the current keys; the first one signs.
func (h *HMAC) TokenKeys() [][]byte { return h.get() }

// Sign returns the authentication code of data under the first key.
func (h *HMAC) Sign(data []byte) []byte { return hmacSHA256(h.get()[0], data) }

// Derive returns a secret for the use that label names, derived from the first
// key. Processes with the same file derive the same secret.
func (h *HMAC) Derive(label string) []byte {
	return hmacSHA256(h.get()[0], []byte("marigoldhub derive\x00"+label))
}

// Verify reports whether code is the authentication code of data under one of
// the keys.
func (h *HMAC) Verify(data, code []byte) bool {
	for _, key := range h.get() {
		if hmac.Equal(hmacSHA256(key, data), code) {
			return true
		}
	}
	return false
}

func hmacSHA256(key, data []byte) []byte {
	m := hmac.New(sha256.New, key)
	_, _ = m.Write(data)
	return m.Sum(nil)
}
