package sampler

import "slices"

// Sizes of sections 1.4 and 4.9 of the design page.
const (
	targetNodes       = 5600
	targetGroups      = 9200
	targetCellSize    = 8
	targetConnections = 5000
	targetChanges     = 5700.0 / (24 * 3600) // A second.
	// targetServers assumes three backend servers in each database group.
	targetServers = 3 * targetGroups
)

// Limits of section 1.4 for each node.
const (
	limitProcessorMS = 22.0 // A second; 2.2 % of a core.
	limitBytes       = 6e3  // A second.
	limitMemoryMB    = 256.0
)

// printTarget prints what the lines predict for a node at target size, in a
// cell of eight nodes, beside the limits. Quantities that were not measured are
// left out.
func (s *Sampler) printTarget() {
	groupsPerCell := float64(targetGroups) / targetNodes * targetCellSize
	s.number("target_groups_per_cell", groupsPerCell)
	if sl, ok := s.find("groups_idle_control_bytes_per_s"); ok {
		s.predict("target_control_bytes_per_s", sl.At(groupsPerCell), limitBytes)
	}
	if sl, ok := s.find("groups_idle_control_bytes_sent_per_s"); ok {
		s.predict("target_control_bytes_sent_per_s", sl.At(groupsPerCell), limitBytes)
	}
	if sl, ok := s.find("groups_idle_processor_ms_per_s"); ok {
		s.predict("target_control_processor_ms_per_s", sl.At(groupsPerCell), limitProcessorMS)
	}
	s.printTargetMemory(groupsPerCell)
	s.printTargetList()
	if sl, ok := s.find("processor_ms_per_change"); ok {
		s.number("target_processor_ms_per_s_of_changes", sl.At(targetCellSize)*targetChanges)
	}
}

func (s *Sampler) printTargetMemory(groups float64) {
	idle, ok := s.find("groups_idle_memory_kb")
	callers, okCallers := s.find("memory_kb_of_idle_connections")
	if !ok || !okCallers {
		return
	}
	_, perConnection := callers.Fit()
	s.number("target_memory_mb_without_callers", idle.At(groups)/1024)
	s.predict("target_memory_mb", (idle.At(groups)+perConnection*targetConnections)/1024, limitMemoryMB)
}

// printTargetList prints the traffic of a platform list that holds every
// instance, read in full by each node. The rates per entry and per server come
// from what the polls cost in installations of different sizes.
func (s *Sampler) printTargetList() {
	entries, ok := s.find("idle_control_bytes_per_s_store")
	servers, okServers := s.find("groups_idle_control_bytes_per_s_store")
	if !ok || !okServers {
		return
	}
	_, perEntry := entries.Fit()
	_, perGroup := servers.Fit()
	perServer := perGroup / 3
	s.predict("target_platform_list_bytes_per_s", perEntry*targetNodes+perServer*targetServers, limitBytes)
}

func (s *Sampler) find(name string) (Slope, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.slopes, func(sl Slope) bool { return sl.Name == name })
	if i < 0 {
		return Slope{}, false
	}
	return s.slopes[i], true
}

// predict prints a value and its share of a limit.
func (s *Sampler) predict(name string, v, limit float64) {
	s.number(name, v)
	s.number(name+"_limit", limit)
	s.number(name+"_share_of_limit", v/limit)
}
