package noder

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// Guards against a check that passes over an entry which decoding drops, stops at the
// first error, does not say where it is, or ends with success although there are findings.
func TestCheckConfig(t *testing.T) {
	const route = `{"name":"r","host":"%s","kind":"primary","timeout_ms":1000,"latency_slo_ms":400,"service":"s"}`
	config := func(version, routes, services string) string {
		return `{"version":` + version + `,"limits":{"tx_idle_ms":9000},` + "\n" + `"routes":[` + routes + "],\n" + `"services":[` + services + `]}`
	}
	a, b := strings.Replace(route, "%s", "a", 1), strings.Replace(route, "%s", "b", 1)
	const service = `{"name":"s","max_conns":20,"sync_replicas":1}`
	for _, tc := range []struct {
		name, now, next string
		code            int
		want            []string
	}{
		{"complete", "", config("3", a, service), exitOK, []string{"version 3: 1 routes, 1 services, 0 teams, no errors"}},
		{"difference", config("3", a, service), config("5", a+","+b, service), exitOK, []string{"version 3 -> 5", `route of database "b": added`}},
		{"no difference", config("3", a, service), config("5", a, service), exitOK, []string{"no difference"}},
		{"older version", config("5", a, service), config("3", a, service), exitErrors, []string{"next.json:1: error: version: 3 is not above 5"}},
		{"a database twice", "", config("3", a+",\n"+a, service), exitErrors, []string{`next.json:3: error: routes[1].host: "a" is that of routes[0], which never matches`}},
		{"a service twice", "", config("3", a, service+","+service), exitErrors, []string{"has no effect"}},
		{"service missing", "", config("3", a, ""), exitErrors, []string{`next.json:2: error: routes[0]: route of database "a": service "s" is not in the configuration`}},
		{"warning", "", config("3", a, service+`,{"name":"t","sync_replicas":1}`), exitWarnings, []string{`next.json:3: warning: services[1]: service "t": no route leads to it`, "no errors"}},
		{"several errors", "", config("0", strings.Replace(a, "primary", "other", 1), `{}`), exitErrors, []string{"next.json:1: error: version: 0 is", "next.json:2: error: routes[0].kind: unknown kind", "next.json:3: error: services[0].name: missing"}},
		{"no JSON", "", "{", exitErrors, []string{"next.json:1: error: configuration"}},
		{"a number in place of a list", "", "{\n\"routes\": 5}", exitErrors, []string{"next.json:2: error: configuration"}},
		{"not sound in force", "{", config("3", a, service), exitErrors, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			write := func(name, text string) string {
				if text == "" {
					return ""
				}
				file := filepath.Join(t.TempDir(), name)
				if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
				return file
			}
			var out strings.Builder
			next, now := write("next.json", tc.next), write("now.json", tc.now)
			err := checkConfig(t.Context(), &out, next, checkOptions{format: "text", inForce: now})
			var e exitError
			if errors.As(err, &e); e.code != tc.code {
				t.Errorf("exit code %d (%v), want %d", e.code, err, tc.code)
			}
			var encoded strings.Builder
			if err := checkConfig(t.Context(), &encoded, next, checkOptions{format: "json", inForce: now}); !errors.As(err, &e) && tc.code != exitOK || e.code != tc.code {
				t.Errorf("exit code %d (%v) with JSON, want %d", e.code, err, tc.code)
			}
			if encoded.Len() > 0 && !json.Valid([]byte(encoded.String())) {
				t.Errorf("not JSON:\n%s", encoded.String())
			}
			for _, want := range tc.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("the output lacks %q:\n%s", want, out.String())
				}
			}
		})
	}
}
