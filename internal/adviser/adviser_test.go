package adviser

import (
	"flag"
	"os"
	"strings"
	"testing"

	"marigoldhub.example/hub/internal/checker"
)

var update = flag.Bool("update", false, "rewrite golden files")

func readManifest(t *testing.T, file string) (checker.Manifest, []byte) {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	m, findings := checker.CheckManifest(file, data)
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	return m, data
}

func compareGolden(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("differs from %s; got:\n%s", file, got)
	}
}

// TestAdvise guards against entries without effect and contradicting limits that are not
// reported, reported at another place, or reported where one table of a rule is left.
func TestAdvise(t *testing.T) {
	_, data := readManifest(t, "testdata/advice.toml")
	compareGolden(t, "testdata/advice.golden", Advise("advice.toml", data).Error()+"\n")
}

// TestAdviseNothing guards against advice about a part that is sound.
func TestAdviseNothing(t *testing.T) {
	for _, file := range []string{"cooperative.toml", "council-unit.toml"} {
		_, data := readManifest(t, "../../docs/examples/"+file)
		if fs := Advise(file, data); len(fs) > 0 {
			t.Error(fs)
		}
	}
}

// TestAdviseCapacity guards against quotas that add up beyond what the servers run, and
// against a report about quotas that just fit.
func TestAdviseCapacity(t *testing.T) {
	unit, data := readManifest(t, "../../docs/examples/council-unit.toml")
	other, otherData := readManifest(t, "testdata/advice.toml")
	one := []checker.Document{{Manifest: unit, File: "council-unit.toml", Data: data}}
	both := append(one, checker.Document{Manifest: other, File: "advice.toml", Data: otherData})
	cases := []struct {
		name      string
		parts     []checker.Document
		perSecond float64
		want      int
	}{{"fits", one, 40, 0}, {"exceeds", one, 39, 1}, {"two parts fit", both, 40.05, 0}, {"two parts exceed", both, 40, 1}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if fs := AdviseCapacity(c.parts, c.perSecond); len(fs) != c.want {
				t.Errorf("%d findings, want %d: %v", len(fs), c.want, fs)
			}
		})
	}
}

// TestCompare guards against a change that is not shown, such as one of a password or of a
// server's address, and against a key or verifier that is printed.
func TestCompare(t *testing.T) {
	before, data := readManifest(t, "testdata/advice.toml")
	changed := strings.NewReplacer(
		`address = "127.2.21.1:5432"`, `address = "127.2.21.9:5432"`,
		"connection_limit = 20", "connection_limit = 30",
		`tables = ["letters"]`, `tables = ["parcels"]`,
		`max_age = "15s"`, `max_age = "20s"`,
		"rate_per_second = 0.05", "rate_per_second = 5.0",
		"keys = []", `keys = ["8620208125dde0c2d7d49918a590e207cbc2dd35d958b698ab60945cff809ab4"]`,
		"Y291bmNpbC11bml0Ym9vaw==", "Y291bmNpbC11bml0Y291bg==",
		"pinned_limit = 39", "pinned_limit = 0\ntls_required = true",
		`server = "orders-1"`, `server = "orders-3"`,
		`server_user = "marigold"`, "server_user = \"marigold\"\nserver_tls = \"verify-full\"",
	).Replace(string(data)) + "\n[[switchover]]\nid = \"s1\"\ngroup = \"orders\"\nto = \"orders-1\"\n"
	after, findings := checker.CheckManifest("changed.toml", []byte(changed))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, c := range Compare(before, after) {
		lines = append(lines, c.String())
	}
	got := strings.Join(lines, "\n") + "\n"
	for _, secret := range []string{"SCRAM", "8620208125dde0c2d7d4"} {
		if strings.Contains(got, secret) {
			t.Errorf("%q is printed", secret)
		}
	}
	compareGolden(t, "testdata/changes.golden", got)
	if same := Compare(before, before); len(same) > 0 {
		t.Errorf("a part differs from itself: %v", same)
	}
}
