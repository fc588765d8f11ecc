package executor

import (
	"slices"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/connector"
)

// Guards against transactions of lost instances that keep connections for which requests
// wait, and against the end of one that is within its limit at the caller's instance, which
// counts from when the last answer has arrived there.
func TestIdleTransactionsEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	const configured = 2 * time.Second
	for _, tc := range []struct {
		name       string
		configured time.Duration
		isShort    bool
		want       []string
	}{
		{"connections are free", configured, false, []string{"4s"}},
		{"requests wait for connections", configured, true, []string{"4s", "2.5s"}},
		{"no limit is configured", 0, true, nil},
	} {
		var ps pinnedConns
		for _, idle := range []string{"1s", "2.1s", "2.5s", "4s", "5s"} {
			d, err := time.ParseDuration(idle)
			if err != nil {
				t.Fatal(err)
			}
			ps.put(idle, &pinnedConn{backend: &connector.Backend{ID: idle}}, now.Add(-d))
		}
		ps.byID["5s"].busy = true
		var got []string
		for _, p := range ps.expired(now, func(*connector.Backend) time.Duration { return pinnedIdleLimit(tc.configured, tc.isShort) }) {
			got = append(got, p.backend.ID)
		}
		if !slices.Equal(got, tc.want) {
			t.Errorf("%s: ended %v, want %v", tc.name, got, tc.want)
		}
	}
}
