package auditor

import (
	"maps"
	"slices"

	"marigoldhub.example/hub/internal/informer"
)

// CheckServers returns what contradicts the backend servers that are listed now.
func CheckServers(c *informer.Configuration, servers []informer.Server) []Finding {
	byService := map[string][]informer.Server{}
	for _, srv := range servers {
		byService[srv.Service] = append(byService[srv.Service], srv)
	}
	var fs findings
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		fs.checkServersOf(c.Services[name], byService[name], c.Routes)
	}
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		if _, ok := c.Services[name]; !ok {
			fs.warnf(ServiceEntry(name), "%d servers are listed, but the service is not in the configuration: they get no work", len(byService[name]))
		}
	}
	return Sort(fs)
}

// checkServersOf checks a service against its listed servers.
func (fs *findings) checkServersOf(s informer.Service, servers []informer.Server, routes map[string]informer.Route) {
	entry := ServiceEntry(s.Name)
	if len(servers) == 0 {
		if isRouted(s.Name, routes) {
			fs.warnf(entry, "no server of it is listed: its statements are refused")
		}
		return
	}
	if s.SyncReplicas >= len(servers) {
		fs.warnf(entry, "commits wait for %d replicas, and %d servers are listed, one of which is the primary: no commit is acknowledged", s.SyncReplicas, len(servers))
	}
	slots := 0
	for _, srv := range servers {
		slots = max(slots, srv.Slots)
	}
	if s.MaxConnections > 0 && s.MaxConnections < slots {
		fs.warnf(entry, "the connection limit of %d is below the %d slots of a server: a part of them is never used", s.MaxConnections, slots)
	}
}

// isRouted reports whether a route leads to the service.
func isRouted(service string, routes map[string]informer.Route) bool {
	for _, r := range routes {
		if r.Service == service {
			return true
		}
	}
	return false
}
