package storertest_test

import (
	"errors"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/storer"
	"marigoldhub.example/hub/internal/storer/storertest"
)

// Guards against a renewed lease that outlasts its owner by more than its lifetime: seed 540 of the
// soak had no coordinator for 20 s after the last one was killed.
func TestRenewedLeaseEndsInItsLifetime(t *testing.T) {
	const ttl = 50 * time.Millisecond
	m := storertest.New()
	lease, err := m.GrantLease(t.Context(), ttl)
	if err != nil {
		t.Fatal(err)
	}
	if left, err := m.KeepAlive(t.Context(), lease); err != nil || left != ttl {
		t.Fatalf("renewed for %v, %v, want %v", left, err, ttl)
	}
	time.Sleep(2 * ttl)
	if _, err := m.KeepAlive(t.Context(), lease); !errors.Is(err, storer.ErrLeaseNotFound) {
		t.Errorf("renewal after its end: %v, want %v", err, storer.ErrLeaseNotFound)
	}
}
