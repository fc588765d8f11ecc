package tracker

// Role is the role of a backend server in its group, as the server itself
// reports it.
type Role string

// The roles that the design page defines in section 3.
const (
	// RolePrimary is a server that leads its term and accepts writes.
	RolePrimary Role = "primary"
	// RoleReplica is a server that follows the primary of its term.
	RoleReplica Role = "replica"
	// RoleFenced is a server that accepted a newer term, and does not lead or
	// follow in it yet.
	RoleFenced Role = "fenced"
)
