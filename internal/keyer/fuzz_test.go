package keyer

import (
	"strings"
	"testing"
)

// Guards against panics, short keys and errors that quote the file.
func FuzzParseKeys(f *testing.F) {
	f.Add("# comment\nQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUE=\n")
	f.Add("AAAA")
	f.Add("secretsecret!!")
	f.Fuzz(func(t *testing.T, text string) {
		keys, err := parseKeys(text)
		if err == nil && len(keys) == 0 {
			t.Fatal("no key and no error")
		}
		for _, key := range keys {
			if len(key) < MinHMACKeyBytes {
				t.Fatalf("key of %d bytes accepted", len(key))
			}
		}
		if err != nil && len(text) > 40 && strings.Contains(err.Error(), text) {
			t.Fatal("the error quotes the file")
		}
	})
}

// Guards against empty passwords and passwords with line ends or zero bytes.
func FuzzParsePassword(f *testing.F) {
	f.Add("secret\r\n")
	f.Add("a\nb")
	f.Fuzz(func(t *testing.T, text string) {
		password, err := parsePassword(text)
		if err == nil && (password == "" || strings.ContainsAny(password, "\n\x00")) {
			t.Fatalf("password %q accepted", password)
		}
	})
}
