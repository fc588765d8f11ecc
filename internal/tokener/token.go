package tokener

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/tracker"
)

// Parameter names the session token, as a startup parameter and in
// ParameterStatus.
const Parameter = "marigold.session_token"

const (
	// Lifetime is how long a token is valid after it was signed.
	Lifetime = 24 * time.Hour
	// maxClockSkew is the difference tolerated between the clocks of instances.
	maxClockSkew = 5 * time.Minute

	version         = 1
	bodyBytes       = 1 + 3*8
	tokenBytes      = bodyBytes + sha256.Size
	domainSeparator = "marigold session token\x00"
)

// ErrInvalid is returned for every token that is not accepted.
var ErrInvalid = errors.New("session token is not valid")

// Keys provides the current HMAC keys.
type Keys interface {
	// TokenKeys returns the keys. The first one signs, all of them verify.
	TokenKeys() [][]byte
}

// Tokener signs and verifies tokens.
type Tokener struct {
	keys  Keys
	clock clockwork.Clock
}

// New returns a Tokener. While there are no keys, it signs no token and accepts none.
func New(keys Keys, clock clockwork.Clock) *Tokener {
	return &Tokener{keys: keys, clock: clock}
}

// Sign returns a token for the position, or the empty string if there is no key.
func (t *Tokener) Sign(caller, group string, p tracker.Position) string {
	keys := t.keys.TokenKeys()
	if len(keys) == 0 {
		return ""
	}
	b := make([]byte, 0, tokenBytes)
	b = append(b, version)
	b = binary.BigEndian.AppendUint64(b, uint64(t.clock.Now().Unix()))
	b = binary.BigEndian.AppendUint64(b, p.Term)
	b = binary.BigEndian.AppendUint64(b, p.Offset)
	b = append(b, computeMAC(keys[0], caller, group, b)...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// Verify returns the position that the token carries, or ErrInvalid if the token
// is malformed, expired, or signed for another caller or group.
func (t *Tokener) Verify(caller, group, token string) (tracker.Position, error) {
	if len(token) != base64.RawURLEncoding.EncodedLen(tokenBytes) {
		return tracker.Position{}, ErrInvalid
	}
	b, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(b) != tokenBytes || b[0] != version {
		return tracker.Position{}, ErrInvalid
	}
	body, mac := b[:bodyBytes], b[bodyBytes:]
	if !t.isAuthentic(caller, group, body, mac) {
		return tracker.Position{}, ErrInvalid
	}
	age := t.clock.Now().Sub(time.Unix(int64(binary.BigEndian.Uint64(body[1:])), 0))
	if age > Lifetime || age < -maxClockSkew {
		return tracker.Position{}, ErrInvalid
	}
	return tracker.Position{Term: binary.BigEndian.Uint64(body[9:]), Offset: binary.BigEndian.Uint64(body[17:])}, nil
}

func (t *Tokener) isAuthentic(caller, group string, body, mac []byte) bool {
	ok := false
	for _, key := range t.keys.TokenKeys() {
		if hmac.Equal(mac, computeMAC(key, caller, group, body)) {
			ok = true
		}
	}
	return ok
}

func computeMAC(key []byte, caller, group string, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(domainSeparator))
	for _, field := range []string{caller, group} {
		h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(field))))
		h.Write([]byte(field))
	}
	h.Write(body)
	return h.Sum(nil)
}
