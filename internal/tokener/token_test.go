package tokener

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/tracker"
)

type keys [][]byte

func (k keys) TokenKeys() [][]byte { return k }

// Guards against forged, foreign and expired tokens that lower the minimum
// position of a session's reads.
func TestVerify(t *testing.T) {
	clock := clockwork.NewFakeClock()
	old, both := New(keys{[]byte("old")}, clock), New(keys{[]byte("new"), []byte("old")}, clock)
	p := tracker.Position{Term: 3, Offset: 99}
	token := old.Sign("web", "titles", p)
	if got, err := both.Verify("web", "titles", token); err != nil || got != p {
		t.Fatalf("Verify = %v, %v", got, err)
	}
	flipped := []byte(token)
	flipped[20] ^= 1
	cases := []struct{ name, caller, group, token string }{
		{"other caller", "other", "titles", token},
		{"other group", "web", "orders", token},
		{"changed", "web", "titles", string(flipped)},
		{"empty", "web", "titles", ""},
		{"unknown key", "web", "titles", New(keys{[]byte("x")}, clock).Sign("web", "titles", p)},
	}
	for _, c := range cases {
		if _, err := both.Verify(c.caller, c.group, c.token); err == nil {
			t.Errorf("%s: accepted", c.name)
		}
	}
	clock.Advance(Lifetime + time.Second)
	if _, err := both.Verify("web", "titles", token); err == nil {
		t.Error("expired token accepted")
	}
}

// Guards against panics on outside bytes and against acceptance of anything
// that was not signed.
func FuzzVerify(f *testing.F) {
	tk := New(keys{[]byte("k")}, clockwork.NewFakeClock())
	f.Add(tk.Sign("web", "titles", tracker.Position{Term: 1, Offset: 2}))
	f.Fuzz(func(t *testing.T, token string) {
		p, err := tk.Verify("web", "titles", token)
		if err == nil && tk.Sign("web", "titles", p) != token {
			t.Errorf("accepted %q, which was never signed", token)
		}
	})
}
