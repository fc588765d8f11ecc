package router

import "fmt"

// Policy selects which reads may go to replicas. Its value is the name that the
// settings use.
type Policy string

const (
	// Session is the policy for production: a replica must cover the session's
	// minimum position and satisfy the age bound.
	Session Policy = "session"
	// AllPrimary sends every statement to the primary. It is a baseline for
	// experiments.
	AllPrimary Policy = "all_primary"
	// IgnoreSession selects replicas without regard to the session's minimum
	// position. It is a baseline for experiments and violates read-your-writes.
	IgnoreSession Policy = "ignore_session"
)

// ParsePolicy returns the policy with the given name. The empty name means
// [Session].
func ParsePolicy(name string) (Policy, error) {
	switch p := Policy(name); p {
	case "":
		return Session, nil
	case Session, AllPrimary, IgnoreSession:
		return p, nil
	}
	return "", fmt.Errorf("unknown routing policy %q", name)
}

// UsesMinPosition reports whether the policy requires that a replica covers the
// session's minimum position.
func (p Policy) UsesMinPosition() bool { return p == Session || p == "" }
