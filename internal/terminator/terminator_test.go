package terminator_test

import (
	"errors"
	"testing"

	"marigoldhub.example/hub/internal/terminator"
)

// Guards against an ended transaction whose caller is not told that it did not run, against a
// reason to end that hides the withdrawal of the access, and against a request that runs after
// that.
func TestReasons(t *testing.T) {
	drain, displace := (*terminator.Terminator).Drain, (*terminator.Terminator).Displace
	expire, revoke := (*terminator.Terminator).Expire, (*terminator.Terminator).Revoke
	type told = []func(*terminator.Terminator)
	cases := []struct {
		name                   string
		told                   told
		expired, inTransaction bool
		code, want             string
		// runs is set if a request that was received before may still run.
		runs bool
	}{
		{"drained", told{drain}, false, false, "57P01", "this proxy is shutting down, connect again", true},
		{"displaced", told{displace}, false, false, "57P01", "this idle session ended in favor of a new connection, connect again", true},
		{"expired", told{drain, expire}, true, false, "57P01", "this proxy is shutting down, connect again", true},
		{"expired in a transaction", told{expire}, true, true, "40001", "transaction was not run: this proxy is shutting down", true},
		{"revoked", told{revoke}, true, false, "28000", "the access of this connection was withdrawn", false},
		{"revoked in a transaction", told{expire, revoke}, true, true, "28000", "transaction was not run: the access of this connection was withdrawn", false},
		{"displaced, then revoked", told{displace, revoke}, false, false, "28000", "the access of this connection was withdrawn", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := terminator.New()
			for _, tell := range c.told {
				tell(s)
				tell(s) // once more has no effect
			}
			if !isClosed(s.Draining()) || isClosed(s.Expired()) != c.expired && len(c.told) == 1 {
				t.Errorf("draining %v, expired %v", isClosed(s.Draining()), isClosed(s.Expired()))
			}
			var fatal *terminator.FatalError
			if err := s.EndError(c.expired, c.inTransaction); !errors.As(err, &fatal) || fatal.Response.Code != c.code || fatal.Response.Message != c.want {
				t.Errorf("got %v, want %s %s", err, c.code, c.want)
			}
			if err := s.RequestError(); (err == nil) != c.runs {
				t.Errorf("request: %v", err)
			}
		})
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against a session that counts as idle while it runs a request: it would be displaced.
func TestIdleSince(t *testing.T) {
	s := terminator.New()
	for _, idle := range []bool{false, true, false} {
		s.SetIdle(idle)
		if got := !s.IdleSince().IsZero(); got != idle {
			t.Errorf("idle %v, want %v", got, idle)
		}
	}
}
