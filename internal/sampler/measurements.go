package sampler

func (s *Sampler) measurements() []measurement {
	return []measurement{
		{"instances", s.measureInstances},
		{"groups", s.measureGroups},
		{"callers", s.measureCallers},
	}
}
