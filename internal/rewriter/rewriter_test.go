package rewriter_test

import (
	"fmt"
	"slices"
	"testing"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/rewriter"
)

// Guards against request keys outside a transaction, whose INSERT would commit by itself, and
// against unknown settings of the proxy that reach a server.
func TestCheckSettings(t *testing.T) {
	cases := []struct {
		text          string
		inTransaction bool
		want          string
	}{
		{"set local marigold.request_key = 'k'", false, "25P01"},
		{"set local marigold.request_key = 'k'", true, ""},
		{"begin; set local marigold.request_key = 'k'; commit", false, ""},
		{"commit; set local marigold.request_key = 'k'", true, "25P01"},
		{"rollback; begin; set local marigold.request_key = 'k'", true, ""},
		{"set local marigold.request_key = ''", true, "22023"},
		{`set local marigold.request_key = 'a\b'`, true, "22023"},
		{"set local marigold.other = 'k'", true, "42704"},
		{"select 1", false, ""},
	}
	c := classifier.New(classifier.Config{})
	for _, tc := range cases {
		got := ""
		if e := rewriter.CheckSettings(c.Classify(tc.text).Statements, tc.inTransaction); e != nil {
			got = e.Code
		}
		if got != tc.want {
			t.Errorf("%s (in transaction: %v): got %q, want %q", tc.text, tc.inTransaction, got, tc.want)
		}
	}
}

// Guards against text around SET LOCAL marigold.request_key that is lost or changed.
func TestRewrite(t *testing.T) {
	insert := rewriter.Keys("o'web\\").Insert("k", rewriter.OutcomeDone)
	cases := []struct{ text, want string }{
		{"select 1", "select 1"},
		{"set local marigold.request_key = 'k'", insert},
		{"begin; set local marigold.request_key = 'k'; select 'ü'; commit", "begin;" + insert + "; select 'ü'; commit"},
		{"set marigold.request_key = 'k'", "set marigold.request_key = 'k'"},
	}
	c := classifier.New(classifier.Config{})
	for _, tc := range cases {
		got := rewriter.Keys("o'web\\").Rewrite(tc.text, c.Classify(tc.text).Statements)
		if got != tc.want {
			t.Errorf("%s: got %s, want %s", tc.text, got, tc.want)
		}
	}
}

// Guards against a startup setting that escapes from its literal, and against more of them
// than one session may have.
func TestStartupSettings(t *testing.T) {
	cases := []struct {
		name, value string
		valid       bool
	}{
		{"search_path", "it's", true},
		{"plpgsql.extra_warnings", "all", true},
		{"", "x", false},
		{"options", "-c x=y", false},
		{"replication", "on", false},
		{"marigold.request_key", "k", false},
		{"a'b", "x", false},
		{"search_path", `a\'b`, false},
		{"search_path", "a\x00", false},
	}
	for _, c := range cases {
		if got := rewriter.ValidStartupSetting(c.name, c.value); got != c.valid {
			t.Errorf("%q = %q: valid %v, want %v", c.name, c.value, got, c.valid)
		}
	}
	list, err := rewriter.StartupStatements(map[string]string{"search_path": "it's", "lc_time": "C"})
	want := []string{"SELECT set_config('lc_time', 'C', false)", "SELECT set_config('search_path', 'it''s', false)"}
	if err != nil || !slices.Equal(list, want) {
		t.Errorf("got %q, %v, want %q", list, err, want)
	}
	many := map[string]string{}
	for i := range 17 {
		many[fmt.Sprint("a", i)] = "x"
	}
	if _, err := rewriter.StartupStatements(many); err == nil {
		t.Error("17 settings were accepted")
	}
}
