package steward

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/reporter"
	"marigoldhub.example/hub/standin/platform"
)

// testEnv runs commands against a platform stand-in and one instance's API.
type testEnv struct {
	t        *testing.T
	dir      string
	platform *platform.Platform
	api      *httptest.Server
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, err := platform.Start(platform.Config{Log: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	c := &testEnv{t: t, dir: t.TempDir(), platform: p}
	c.api = httptest.NewServer(http.HandlerFunc(c.serveAPI))
	t.Cleanup(c.api.Close)
	c.writeSettings()
	return c
}

func (c *testEnv) serveAPI(w http.ResponseWriter, r *http.Request) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	answers := map[string]any{
		"/v1/status": reporter.Status{Instance: "entry-1", Zone: "z1", Ready: true, Parts: []reporter.Part{{Part: "cooperative", Revision: 1}}},
		"/v1/timeline": []recorder.Event{
			{Instance: "entry-1", Lamport: 3, Wall: at, Component: "promoter", Kind: "established", Group: "g"},
			{Instance: "entry-1", Lamport: 1, Wall: at, Component: "promoter", Kind: "detected", Group: "g"},
		},
	}
	json.NewEncoder(w).Encode(answers[r.URL.Path])
}

func (c *testEnv) file(name string) string { return filepath.Join(c.dir, name) }

func (c *testEnv) writeSettings() {
	c.t.Helper()
	text := fmt.Sprintf("operator = \"ann\"\ntimeout = \"5s\"\n[store]\nendpoints = [\"http://%s\"]\n", c.platform.Addr())
	for _, owner := range []string{"cooperative", "council-unit"} {
		out, code := c.run("keygen", "--out", c.file(owner+".pem"))
		if code != ExitOK {
			c.t.Fatal(out)
		}
		text += fmt.Sprintf("[[genesis]]\nname = %q\n[[genesis.key]]\n%s", owner, out)
	}
	text += fmt.Sprintf("[[instance]]\nname = \"entry-1\"\nurl = %q\n", c.api.URL)
	if err := os.WriteFile(c.file("ctl.toml"), []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

func (c *testEnv) run(args ...string) (string, int) {
	var out strings.Builder
	code := Main(append(args, "--settings", c.file("ctl.toml")), strings.NewReader("no\n"), &out, &out)
	return out.String(), code
}

// expect runs a command line and checks its exit code and output.
func (c *testEnv) expect(code int, text string, args ...string) {
	c.t.Helper()
	out, got := c.run(args...)
	if got != code || !strings.Contains(out, text) {
		c.t.Errorf("%q: exit code %d, want %d with %q; output:\n%s", args, got, code, text, out)
	}
}

const (
	cooperative = "../../docs/examples/cooperative.toml"
	councilUnit = "../../docs/examples/council-unit.toml"
)

// TestCommands guards against commands that activate a change without both
// co-owners, do not show what they do, or end with a wrong exit code.
func TestCommands(t *testing.T) {
	c := newTestEnv(t)
	coop, council := c.file("cooperative.pem"), c.file("council-unit.pem")
	changed := c.file("changed.toml")
	data, err := os.ReadFile(cooperative)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(changed, []byte(strings.Replace(string(data), `max_age = "30s"`, `max_age = "40s"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	c.expect(ExitOK, "ok", "check", cooperative, councilUnit)
	c.expect(ExitErrors, "appears twice", "check", cooperative, changed)
	c.expect(ExitErrors, "ranges.toml:13:1: group[0].server[0].connection_limit", "check", "../checker/testdata/ranges.toml")
	c.expect(ExitRefused, "run genesis first", "propose", cooperative)
	c.expect(ExitOK, "missing", "genesis", "--key", coop)
	c.expect(ExitOK, "before", "genesis", "--key", coop)
	c.expect(ExitOK, "is in force", "genesis", "--key", council)
	c.expect(ExitRefused, "revision 1 is in force", "genesis", "--key", council)

	c.expect(ExitOK, "revision 1 proposed", "propose", cooperative)
	c.expect(ExitOK, "was proposed before", "propose", cooperative)
	c.expect(ExitRefused, `revision 1 was proposed by "ann"`, "propose", changed)
	c.expect(ExitRefused, "not approved", "approve", "cooperative", "--key", coop)
	c.expect(ExitRefused, "revision 1 is proposed, not 7", "approve", "cooperative", "--key", coop, "--yes", "--revision", "7")
	c.expect(ExitOK, "approval is missing", "approve", "cooperative", "--key", coop, "--yes")
	c.expect(ExitOK, "nothing changed", "approve", "cooperative", "--key", coop, "--yes")
	c.expect(ExitOK, `proposed by "ann", approved by ["cooperative"]`, "status")
	c.expect(ExitOK, "revision 1 is in force", "approve", "cooperative", "--key", council, "--yes")
	c.expect(ExitOK, "no change", "diff", cooperative)
	c.expect(ExitOK, `+ max_age = "40s"`, "diff", changed)
	c.expect(ExitOK, "revision 2 proposed", "propose", changed)
	c.expect(ExitOK, "revision 2 withdrawn", "withdraw", "cooperative")
	c.expect(ExitRefused, "no open proposal", "withdraw", "cooperative")
	c.expect(ExitOK, "revision 1 owners 1", "history", "cooperative")
	c.expect(ExitOK, `instance "entry-1": zone z1, ready true, cooperative 1`, "status")
}

// TestTimeline guards against merging without Lamport time, and against an SVG
// document that is not complete.
func TestTimeline(t *testing.T) {
	c := newTestEnv(t)
	c.expect(ExitOK, "detected group=g\n", "timeline", "--group", "g")
	out, code := c.run("timeline", "--json")
	var events []recorder.Event
	if err := json.Unmarshal([]byte(out), &events); code != ExitOK || err != nil || len(events) != 2 || events[0].Kind != "detected" {
		t.Errorf("exit code %d, %v, output %s", code, err, out)
	}
	svg := c.file("p.svg")
	c.expect(ExitOK, "", "timeline", "--group", "g", "--svg", svg)
	data, err := os.ReadFile(svg)
	if err != nil || !strings.HasSuffix(string(data), "</svg>\n") || !strings.Contains(string(data), "2 established") {
		t.Errorf("%v, %s", err, data)
	}
	c.expect(ExitRefused, "no promotion", "timeline", "--group", "other", "--svg", svg)
	c.expect(ExitUsage, "--svg needs --group", "timeline", "--svg", svg)
	c.expect(ExitUnreachable, "not all instances answered", "timeline", "http://127.0.0.1:1", c.api.URL)
}

// TestExitCodes guards against exit codes with which a pipeline would take an
// unknown outcome or an unreachable store or instance for a refusal.
func TestExitCodes(t *testing.T) {
	c := newTestEnv(t)
	coop := c.file("cooperative.pem")
	c.expect(ExitUsage, "unknown command", "adjust")
	c.expect(ExitUsage, "required flag", "approve", "cooperative")
	c.expect(ExitUsage, "accepts 1 arg", "diff")
	c.expect(ExitUsage, "unknown flag", "status", "--force")
	c.api.Close()
	c.expect(ExitUnreachable, "unreachable", "status")
	c.platform.LoseAnswers(1)
	c.expect(ExitOK, "approval is missing", "genesis", "--key", coop)
	c.platform.SetDown(true)
	c.expect(ExitUnreachable, "store is unavailable", "propose", cooperative)
	c.expect(ExitUnreachable, "unavailable", "status")
}

// TestUnknownOutcome guards against a definite result of a write whose response
// never arrives.
func TestUnknownOutcome(t *testing.T) {
	c := newTestEnv(t)
	target, err := url.Parse("http://" + c.platform.Addr())
	if err != nil {
		t.Fatal(err)
	}
	forward := httputil.NewSingleHostReverseProxy(target)
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v3/kv/txn" {
			panic(http.ErrAbortHandler)
		}
		forward.ServeHTTP(w, r)
	}))
	defer proxy.Close()
	data, err := os.ReadFile(c.file("ctl.toml"))
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(data), target.String(), proxy.URL, 1)
	if err := os.WriteFile(c.file("ctl.toml"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c.expect(ExitUnknown, "outcome of txn is unknown", "genesis", "--key", c.file("cooperative.pem"))
}

// TestHelpHasExamples guards against commands that are not documented.
func TestHelpHasExamples(t *testing.T) {
	for _, cmd := range newRootCmd(&app{}).Commands() {
		if cmd.Example == "" || cmd.Short == "" {
			t.Errorf("%s has no example or no description", cmd.Name())
		}
	}
}

// TestExampleSettings guards against a documented settings file that does not
// load, and against findings that are not reported.
func TestExampleSettings(t *testing.T) {
	s, err := ReadSettings("../../docs/examples/marigoldctl.toml")
	if err != nil || len(s.Genesis) != 2 || len(s.Instances) != 2 {
		t.Errorf("got %+v, %v", s, err)
	}
	if _, err := approver.NewChain(s.Genesis); err != nil {
		t.Error(err)
	}
	file := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(file, []byte("operator = \"a\"\ncolour = 1\n[store]\nendpoints = [\"db:1\"]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = ReadSettings(file)
	for _, want := range []string{":2:1: colour: unknown key", ":4:1: store.endpoints:", "genesis: there must be exactly 2"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("no finding %q in %v", want, err)
		}
	}
}

// TestControlCharactersAreShown guards against content that hides a change
// from the approver.
func TestControlCharactersAreShown(t *testing.T) {
	var out strings.Builder
	writeDiff(&out, "a\n", "a\x1b[2Kb\u202e\n")
	if strings.ContainsAny(out.String(), "\x1b\u202e") {
		t.Errorf("got %q", out.String())
	}
}
