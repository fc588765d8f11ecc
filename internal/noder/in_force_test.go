package noder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// serveStore serves the items as the platform's store does, with read calls only.
func serveStore(t *testing.T, items map[string]string) string {
	t.Helper()
	type item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision int    `json:"revision"`
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", func(w http.ResponseWriter, r *http.Request) {
		key := r.URL.Query().Get("key")
		value, ok := items[key]
		if !ok {
			http.Error(w, `{"store_revision":1}`, http.StatusNotFound)
			return
		}
		json.NewEncoder(w).Encode(item{key, []byte(value), 1})
	})
	mux.HandleFunc("GET /api/kv-range", func(w http.ResponseWriter, r *http.Request) {
		var found []item
		for key, value := range items {
			if strings.HasPrefix(key, r.URL.Query().Get("prefix")) {
				found = append(found, item{key, []byte(value), 1})
			}
		}
		json.NewEncoder(w).Encode(map[string]any{"items": found, "store_revision": 1})
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against a comparison that passes when the store cannot be read or holds something
// that cannot be decoded, and against listed servers that are not compared.
func TestCheckConfigAgainstStore(t *testing.T) {
	config := func(version int) string {
		return fmt.Sprintf(`{"version":%d,"limits":{"tx_idle_ms":9000},"routes":[{"name":"r","host":"a","kind":"primary","timeout_ms":1000,"latency_slo_ms":400,"service":"s"}],`+
			`"services":[{"name":"s","max_conns":20,"sync_replicas":1}]}`, version)
	}
	server := func(service string) string {
		return fmt.Sprintf(`{"service":%q,"addr":"10.0.0.1:7000","zone":"z","version":"1","slots":3,"state":"ready","cold_left_ms":0,"db_role":"replica","born":1,"seq":1}`, service)
	}
	next := filepath.Join(t.TempDir(), "next.json")
	if err := os.WriteFile(next, []byte(config(5)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name  string
		items map[string]string
		code  int
		want  string
	}{
		{"servers listed", map[string]string{"op/config": config(3), "servers/a": server("s"), "servers/b": server("s")}, exitOK, "version 3 -> 5"},
		{"an entry that is no server", map[string]string{"op/config": config(3), "servers/a": server("s"), "servers/b": server("s"), "servers/c": "{"}, exitOK, "version 3 -> 5"},
		{"newer version in force", map[string]string{"op/config": config(7), "servers/a": server("s"), "servers/b": server("s")}, exitErrors, "version: 5 is not above 7"},
		{"no configuration yet", map[string]string{"servers/a": server("s"), "servers/b": server("s")}, exitOK, "version 5: 1 routes"},
		{"no server", map[string]string{"op/config": config(3)}, exitWarnings, "no server of it is listed"},
		{"configuration that cannot be decoded", map[string]string{"op/config": "{"}, exitErrors, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out strings.Builder
			err := checkConfig(t.Context(), &out, next, checkOptions{format: "text", store: serveStore(t, tc.items)})
			var e exitError
			if errors.As(err, &e); e.code != tc.code {
				t.Errorf("exit code %d (%v), want %d", e.code, err, tc.code)
			}
			if !strings.Contains(out.String(), tc.want) {
				t.Errorf("the output lacks %q:\n%s", tc.want, out.String())
			}
		})
	}
	t.Run("no store", func(t *testing.T) {
		s := httptest.NewServer(http.NotFoundHandler())
		address := strings.TrimPrefix(s.URL, "http://")
		s.Close()
		var e exitError
		if err := checkConfig(t.Context(), &strings.Builder{}, next, checkOptions{format: "text", store: address}); !errors.As(err, &e) || e.code != exitErrors || !strings.Contains(err.Error(), address) {
			t.Errorf("got %v, want exit code %d and the address", err, exitErrors)
		}
	})
}
