package rewriter

import (
	"testing"

	"marigoldhub.example/hub/internal/classifier"
)

// Guards against a request key that escapes from its literal in the INSERT that
// replaces SET LOCAL marigold.request_key.
func FuzzSetKey(f *testing.F) {
	for _, key := range []string{"k", "a'b", "a\\", "x'); delete from t; --", "ü", "\x00", ""} {
		f.Add(key)
	}
	keys := Keys("o'web")
	c := classifier.New(classifier.Config{})
	f.Fuzz(func(t *testing.T, key string) {
		if !ValidKey(key) {
			return
		}
		text := "begin; set local marigold.request_key = " + quoteLiteral(key) + "; commit"
		r := c.Classify(text)
		if len(r.Statements) != 3 || r.Statements[1].Value != key {
			t.Fatalf("key %q is read as %+v", key, r.Statements)
		}
		rewritten := c.Classify(keys.Rewrite(text, r.Statements))
		if len(rewritten.Statements) != 3 || rewritten.Statements[1].Kind != classifier.Write {
			t.Errorf("key %q makes %+v", key, rewritten.Statements)
		}
	})
}
