package router

import "fmt"

// Policy selects which reads may go to replicas.
type Policy string

const (
	// Session is the product's policy: a replica must cover the session's
	// floor and the age bound.
	Session Policy = "session"
	// AllPrimary sends every statement to the primary. It is a baseline for
	// experiments.
	AllPrimary Policy = "all_primary"
	// IgnoreSession chooses replicas without regard to the session's floor. It
	// is a baseline for experiments and breaks read-your-writes.
	IgnoreSession Policy = "ignore_session"
)

// ParsePolicy returns the policy of that name. The empty name is Session.
func ParsePolicy(name string) (Policy, error) {
	switch p := Policy(name); p {
	case "":
		return Session, nil
	case Session, AllPrimary, IgnoreSession:
		return p, nil
	}
	return "", fmt.Errorf("unknown routing policy %q", name)
}

// UsesFloor reports whether the policy needs the session's floor.
func (p Policy) UsesFloor() bool { return p == Session || p == "" }
