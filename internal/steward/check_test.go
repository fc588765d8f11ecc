package steward

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
)

// writeChanged writes a copy of a manifest part with a text replaced, and returns its name.
func (c *testEnv) writeChanged(file, from, name, old, replacement string) string {
	c.t.Helper()
	data, err := os.ReadFile(from)
	if err != nil {
		c.t.Fatal(err)
	}
	if !strings.Contains(string(data), old) {
		c.t.Fatalf("%s does not contain %q", from, old)
	}
	text := strings.Replace(string(data), old, replacement, 1)
	if err := os.WriteFile(c.file(file), []byte(strings.Replace(text, `part = "cooperative"`, `part = "`+name+`"`, 1)), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return c.file(file)
}

// TestCheck guards against a check that passes a file with errors in a pipeline, that
// refuses one with warnings, or that compares with something else than it says.
func TestCheck(t *testing.T) {
	c := newTestEnv(t)
	slower := c.writeChanged("slower.toml", councilUnit, "council-unit", "rate_per_second = 40", "rate_per_second = 0.05")
	c.expect(ExitOK, "ok", "check", councilUnit)
	c.expect(ExitErrors, "no such file", "check", c.file("missing.toml"))
	c.expect(ExitErrors, `--format is "xml"`, "check", councilUnit, "--format", "xml")
	c.expect(ExitErrors, "--capacity is -3", "check", councilUnit, "--capacity", "-3")
	c.expect(ExitErrors, "no such file", "check", councilUnit, "--against", c.file("missing.toml"))
	c.expect(ExitErrors, "compares one file", "check", cooperative, councilUnit, "--against", councilUnit)
	c.expect(ExitErrors, "cannot be compared", "check", cooperative, "--against", councilUnit)
	c.expect(ExitOK, "no difference", "check", councilUnit, "--against", councilUnit)
	c.expect(ExitOK, `team "kiosks": rate_per_second lowered from 40 to 0.05`, "check", slower, "--against", councilUnit)
	c.expect(ExitWarnings, "warning: team: the quotas add up to 40 operations a second", "check", councilUnit, "--capacity", "30")
	both := c.writeChanged("both.toml", slower, "council-unit", "burst = 20", "burst = 0.5")
	c.expect(ExitWarnings, "warning: team[0].rate_per_second: the quota admits only one operation every 20s", "check", both)
}

// TestCheckAgainstStore guards against a comparison with a revision that is not in force,
// and against a name conflict with another part in force that only a proposal would show.
func TestCheckAgainstStore(t *testing.T) {
	c := newTestEnv(t)
	coop, council := c.file("cooperative.pem"), c.file("council-unit.pem")
	c.expect(ExitOK, "missing", "genesis", "--key", coop)
	c.expect(ExitOK, "is in force", "genesis", "--key", council)
	c.expect(ExitOK, `part "cooperative" against no revision in force:`, "check", cooperative, "--against", "store")
	c.expect(ExitOK, "revision 1 proposed", "propose", cooperative)
	c.expect(ExitOK, "approval is missing", "approve", "cooperative", "--key", coop, "--yes")
	c.expect(ExitOK, "revision 1 is in force", "approve", "cooperative", "--key", council, "--yes")

	changed := c.writeChanged("changed.toml", cooperative, "cooperative", `max_age = "30s"`, `max_age = "40s"`)
	c.expect(ExitOK, "against revision 1 in force: no difference", "check", cooperative, "--against", "store")
	c.expect(ExitOK, "maximum age raised from 30s to 40s", "check", changed, "--against", "store")
	other := c.writeChanged("other.toml", cooperative, "other", `max_age = "30s"`, `max_age = "40s"`)
	c.expect(ExitOK, "ok", "check", other)
	c.expect(ExitErrors, `other.toml:8:1: group[0].name: group "cooperative-submissions" belongs to part "cooperative"`, "check", other, "--against", "store")

	out, code := c.run("check", changed, "--against", "store", "--format", "json")
	var r checkReport
	if err := json.Unmarshal([]byte(out), &r); err != nil || code != ExitOK {
		t.Fatalf("exit code %d, %v in %s", code, err, out)
	}
	if len(r.Parts) != 1 || r.Parts[0].Revision != 1 || len(r.Parts[0].Changes) != 1 || len(r.Findings) != 0 {
		t.Errorf("report %+v", r)
	}
	// The first of two parts gives names up that the second one takes.
	empty := c.writeChanged("empty.toml", councilUnit, "cooperative", `part = "council-unit"`, `part = "cooperative"`)
	c.expect(ExitWarnings, `whose file gives it up: that part must be in force before this one is proposed`, "check", empty, other, "--against", "store")
	c.platform.Close()
	c.expect(ExitUnreachable, "unavailable", "check", changed, "--against", "store")
}

// TestCheckOwners guards against a change of the co-owners' keys that passes as checked
// without a comparison.
func TestCheckOwners(t *testing.T) {
	c := newTestEnv(t)
	data, err := os.ReadFile(c.file("ctl.toml"))
	if err != nil {
		t.Fatal(err)
	}
	_, genesis, _ := strings.Cut(string(data), "[[genesis]]")
	genesis, _, _ = strings.Cut(genesis, "[[instance]]")
	owners := "part = \"owners\"\n" + strings.ReplaceAll("[[genesis]]"+genesis, "genesis", "owner")
	write := func(name, text string) string {
		if err := os.WriteFile(c.file(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return c.file(name)
	}
	before := write("owners.toml", owners)
	after := write("owners-next.toml", strings.Replace(owners, `name = "cooperative"`, `name = "union"`, 1))
	c.expect(ExitOK, "no difference", "check", before, "--against", before)
	c.expect(ExitOK, `co-owner "cooperative": removed`, "check", after, "--against", before)
	c.expect(ExitErrors, "no such file", "check", after, "--against", c.file("missing.toml"))
	c.expect(ExitErrors, "cannot be compared", "check", after, "--against", councilUnit)
	c.expect(ExitOK, `part "owners" against no revision in force:`, "check", after, "--against", "store")
}
