package dispatcher_test

import (
	"strings"
	"testing"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// Guards against reads of the primary that ran and are refused as if they had not: the text
// would promise that nothing ran, and the team would get its token back.
func TestReadsThatRanAreNotRefused(t *testing.T) {
	for _, tc := range []struct {
		name string
		// fail is called when the primary gets the read.
		fail func(f *fixture)
		want exchanger.Code
		ran  bool
	}{
		{"the answer is lost and no primary is found", func(f *fixture) { f.SetDown("a", true) }, exchanger.Failed, false},
		{"no replica confirms the primary", func(f *fixture) {
			f.SetDown("b", true)
			f.SetDown("c", true)
		}, exchanger.Aborted, true},
		{"another server has become primary, which cannot be reached", func(f *fixture) {
			f.MakePrimary("c", 2, true)
			f.SetDown("c", true)
		}, exchanger.Aborted, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			if a := f.d.Run(request("warm", exchanger.Write, informer.PrimaryReads)); !a.OK() {
				t.Fatal(a.Code, a.Text)
			}
			f.OnStatement = func(server string, s exchanger.Statement) {
				if server == "a" && s.ID == "r" {
					tc.fail(f)
				}
			}
			a := f.d.Run(request("r", exchanger.Read, informer.PrimaryReads))
			if a.Code != tc.want || strings.Contains(a.Text, "nothing ran") {
				t.Errorf("%v %q, want %v", a.Code, a.Text, tc.want)
			}
			if len(a.Rows) > 0 {
				t.Errorf("rows %q of a read that is not proved", a.Rows)
			}
			if at := f.ranAt("r"); len(at) > 0 != tc.ran {
				t.Errorf("ran at %v, want a run: %v", at, tc.ran)
			}
		})
	}
}
