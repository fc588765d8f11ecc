package tracker

// Role is the part that a backend server plays in its group, as the server
// itself reports it.
type Role string

// The roles of section 3 of the design page.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	// RoleFenced is a server that accepted a newer term and neither leads nor
	// follows in it yet.
	RoleFenced Role = "fenced"
)
