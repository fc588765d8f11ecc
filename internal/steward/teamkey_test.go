package steward

import (
	"os"
	"strings"
	"testing"

	"marigoldhub.example/hub/internal/informer"
)

const oldExampleKey = "mk_example-kiosks-old"

// TestTeams guards against a withdrawal that an approver does not see, that takes effect
// with one signature, and against a key that is shown.
func TestTeams(t *testing.T) {
	c := newTestEnv(t)
	coop, council := c.file("cooperative.pem"), c.file("council-unit.pem")
	c.expect(ExitOK, "missing", "genesis", "--key", coop)
	c.expect(ExitOK, "is in force", "genesis", "--key", council)
	c.expect(ExitOK, "proposed", "propose", councilUnit)
	c.expect(ExitOK, "approved", "approve", "council-unit", "--key", coop, "--revision", "1", "--yes")
	c.expect(ExitOK, "is in force", "approve", "council-unit", "--key", council, "--revision", "1", "--yes")

	out, code := c.run("teamkey", "--out", c.file("team.key"))
	if code != ExitOK {
		t.Fatal(out)
	}
	key, err := os.ReadFile(c.file("team.key"))
	if err != nil {
		t.Fatal(err)
	}
	added := informer.DigestKey(strings.TrimSpace(string(key)))
	if !strings.Contains(out, added.String()) || !strings.HasPrefix(string(key), "mk_") {
		t.Errorf("the digest is not that of the key %q: %s", key, out)
	}
	c.expect(ExitOK, added.Fingerprint(), "teamkey", "--of", c.file("team.key"))
	c.expect(ExitRefused, "file exists", "teamkey", "--out", c.file("team.key"))
	c.expect(ExitUsage, "", "teamkey")

	data, err := os.ReadFile(councilUnit)
	if err != nil {
		t.Fatal(err)
	}
	old := informer.DigestKey(oldExampleKey)
	write := func(name, replacement string) string {
		text := strings.Replace(string(data), old.String(), replacement, 1)
		text = strings.Replace(text, "connection_limit = 80", "connection_limit = 90", 1)
		if err := os.WriteFile(c.file(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return c.file(name)
	}
	changed := write("changed.toml", added.String())
	for _, line := range []string{
		`team "kiosks": key ` + added.Fingerprint() + " added",
		`team "kiosks": key ` + old.Fingerprint() + " withdrawn; its connections end",
		`team "kiosks": connection_limit raised from 80 to 90`,
	} {
		c.expect(ExitOK, line, "diff", changed)
	}
	c.expect(ExitOK, "proposed", "propose", changed)
	c.expect(ExitOK, "key "+old.Fingerprint()+" withdrawn", "approve", "council-unit", "--key", coop, "--revision", "2", "--yes")
	c.expect(ExitOK, "against revision 1 in force", "diff", changed)
	c.expect(ExitOK, "is in force", "approve", "council-unit", "--key", council, "--revision", "2", "--yes")
	c.expect(ExitOK, "no change", "diff", changed)

	// The key itself in place of its digest.
	wrong := write("wrong.toml", strings.TrimSpace(string(key)))
	commands := []struct {
		name string
		code int
	}{{"check", ExitErrors}, {"diff", ExitRefused}, {"propose", ExitRefused}}
	for _, command := range commands {
		out, code := c.run(command.name, wrong)
		if code != command.code || !strings.Contains(out, "is not a digest") {
			t.Errorf("%s: exit code %d, output:\n%s", command.name, code, out)
		}
		if strings.Contains(out, strings.TrimSpace(string(key))) {
			t.Errorf("%s shows the key:\n%s", command.name, out)
		}
	}
}
