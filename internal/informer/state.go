package informer

import "sort"

// State is an immutable view of the configuration and the servers. Configuration
// and the result of ServersOf are shared with other states and must not be changed.
type State struct {
	Configuration *Configuration
	servers       map[string][]Server
	draining      []Server
}

// HasConfiguration reports whether a configuration is in force.
func (s *State) HasConfiguration() bool { return s.Configuration != nil }

// Route returns the route of the database.
func (s *State) Route(database string) (Route, bool) {
	if s.Configuration == nil {
		return Route{}, false
	}
	r, ok := s.Configuration.Routes[database]
	return r, ok
}

// ServersOf returns the service's servers in order of their ids.
func (s *State) ServersOf(service string) []Server { return s.servers[service] }

// Draining returns the draining servers, in no order.
func (s *State) Draining() []Server { return s.draining }

// Services returns the names of services that have servers, in order.
func (s *State) Services() []string {
	names := make([]string, 0, len(s.servers))
	for name := range s.servers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Server returns the server with the id.
func (s *State) Server(service, id string) (Server, bool) {
	for _, srv := range s.servers[service] {
		if srv.ID == id {
			return srv, true
		}
	}
	return Server{}, false
}

func newState(c *Configuration, servers map[string]Server) *State {
	s := &State{Configuration: c, servers: map[string][]Server{}}
	for _, srv := range servers {
		s.servers[srv.Service] = append(s.servers[srv.Service], srv)
		if srv.Draining {
			s.draining = append(s.draining, srv)
		}
	}
	for _, list := range s.servers {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return s
}
