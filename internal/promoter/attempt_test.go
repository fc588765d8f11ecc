package promoter

import (
	"slices"
	"testing"
)

// Guards against a planned change that is lost, or wrongly treated as completed,
// when an attempt's identifier is parsed.
func TestAttemptID(t *testing.T) {
	cases := []struct {
		name string
		plan Plan
		done []string
	}{
		{"plain", Plan{}, nil},
		{"plan", Plan{ID: "a-1", To: "s3"}, nil},
		{"done", Plan{}, []string{"a-1", "b_2"}},
		{"both", Plan{ID: "c", To: "s2"}, []string{"a-1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			id := attemptID("i1", c.plan, c.done)
			plan, done := parseAttemptID(id)
			if plan != c.plan || !slices.Equal(done, c.done) {
				t.Errorf("%q was parsed as %+v, %v", id, plan, done)
			}
			if id == attemptID("i1", c.plan, c.done) {
				t.Errorf("two attempts share the identifier %q", id)
			}
		})
	}
	for _, foreign := range []string{"", "initial", "i1/0123"} {
		if plan, done := parseAttemptID(foreign); plan != (Plan{}) || done != nil {
			t.Errorf("%q was parsed as %+v, %v", foreign, plan, done)
		}
	}
}
