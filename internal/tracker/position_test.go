package tracker

import "testing"

// Guards against positions of an old term that count as newer ones.
func TestLineageContains(t *testing.T) {
	l, err := ParseLineage("1:0,3:57")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name string
		p    Position
		want bool
	}{
		{"first record", Position{1, 1}, true},
		{"last record of old term", Position{1, 57}, true},
		{"truncated record", Position{1, 58}, false},
		{"skipped term", Position{2, 20}, false},
		{"record of last term", Position{3, 58}, true},
		{"before start of last term", Position{3, 57}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := l.Contains(c.p); got != c.want {
				t.Errorf("Contains(%v) = %v, want %v", c.p, got, c.want)
			}
		})
	}
	if l.String() != "1:0,3:57" {
		t.Errorf("String() = %q", l.String())
	}
}
