package tracker

// Server describes a backend server as declared in the manifest.
type Server struct {
	Name string
	// Address is "host:port" with an IP address as the host.
	Address string
	// Zone is the availability zone.
	Zone string
	// ConnectionLimit is the number of client connections that the server
	// accepts.
	ConnectionLimit int
}

// Group describes a database group as declared in the manifest.
type Group struct {
	Name string
	// Database is the database name that callers connect to.
	Database string
	Servers  []Server
}

// Majority returns the number of servers that form a majority of the group.
func (g Group) Majority() int { return len(g.Servers)/2 + 1 }

// Server returns the server with the given name, and false if there is none.
func (g Group) Server(name string) (Server, bool) {
	for _, s := range g.Servers {
		if s.Name == name {
			return s, true
		}
	}
	return Server{}, false
}
