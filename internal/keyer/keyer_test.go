package keyer_test

import (
	"encoding/base64"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"marigoldhub.example/hub/internal/keyer"
	"marigoldhub.example/hub/internal/keyer/keyertest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}

func writeFile(t *testing.T, path, text string, mode os.FileMode) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), mode); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(path, mode); err != nil {
		t.Fatal(err)
	}
}

// Guards against secret files that others can read, and against errors that
// quote a secret.
func TestSecretFiles(t *testing.T) {
	tests := []struct {
		name, text string
		mode       os.FileMode
		want       string
	}{
		{"good", "s3cret\n", 0o600, ""},
		{"read only", "s3cret", 0o400, ""},
		{"group", "s3cret\n", 0o640, "must not be accessible to group or others"},
		{"others", "s3cret\n", 0o604, "must not be accessible to group or others"},
		{"empty", "\n", 0o600, "no password"},
		{"two lines", "s3cret\ns3cret2\n", 0o600, "more than one line"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "password")
			writeFile(t, path, tt.text, tt.mode)
			password, err := keyer.Password(path)
			if tt.want == "" {
				if err != nil || password != "s3cret" {
					t.Errorf("got %q, %v", password, err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "s3cret") {
				t.Errorf("error %v, want %q", err, tt.want)
			}
		})
	}
	if _, err := keyer.Password(t.TempDir()); err == nil {
		t.Error("a directory was accepted as password file")
	}
}

// Guards against a private key that others can read.
func TestKeyPermissions(t *testing.T) {
	files := keyertest.NewCA(t).Issue(t, "entry", net.IPv4(127, 0, 0, 1))
	if err := os.Chmod(files.Key, 0o644); err != nil {
		t.Fatal(err)
	}
	_, err := keyer.NewTLS(keyer.Config{}, files)
	var permission *keyer.PermissionError
	if !errors.As(err, &permission) || permission.Path != files.Key {
		t.Errorf("error %v, want a PermissionError for the key", err)
	}
}

// Guards against a certificate that is replaced on disk but not loaded, and
// against an invalid replacement that displaces a valid one.
func TestTLSReload(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ca := keyertest.NewCA(t)
	files := ca.Issue(t, "entry", net.IPv4(127, 0, 0, 1))
	keys, err := keyer.NewTLS(keyer.Config{Clock: clock, Log: quietLog()}, files)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = keys.Close() }()
	current := func() string { return string(keys.Peer().Certificates[0].Certificate[0]) }
	first := current()
	writeFile(t, files.Certificate, "broken", 0o644)
	for range 5 {
		clock.Advance(time.Second)
		time.Sleep(10 * time.Millisecond)
	}
	if current() != first {
		t.Error("a broken certificate is in use")
	}
	ca.Issue(t, "entry", net.IPv4(127, 0, 0, 1))
	for deadline := time.Now().Add(5 * time.Second); current() == first; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the new certificate is not in use")
		}
		clock.Advance(time.Second)
	}
}

// Guards against tokens that become invalid when a new key is put first, and
// against keys that still verify after their removal.
func TestHMACRotation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	path := filepath.Join(t.TempDir(), "keys")
	key := func(b byte) string {
		return base64.StdEncoding.EncodeToString([]byte(strings.Repeat(string(rune(b)), keyer.MinHMACKeyBytes))) + "\n"
	}
	writeFile(t, path, key('a'), 0o600)
	h, err := keyer.NewHMAC(keyer.Config{Clock: clock, Log: quietLog()}, path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = h.Close() }()
	data := []byte("token")
	old := h.Sign(data)
	reload := func(text string, done func() bool) {
		t.Helper()
		writeFile(t, path, text, 0o600)
		for deadline := time.Now().Add(5 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the key file was not loaded again")
			}
			clock.Advance(time.Second)
		}
	}
	reload("# new\n"+key('b')+key('a'), func() bool { return string(h.Sign(data)) != string(old) })
	if !h.Verify(data, old) || !h.Verify(data, h.Sign(data)) {
		t.Error("a token of a key in the file is refused")
	}
	reload(key('b')+"\n\n", func() bool { return !h.Verify(data, old) })
	if h.Verify([]byte("other"), h.Sign(data)) {
		t.Error("a code of other data is accepted")
	}
}
