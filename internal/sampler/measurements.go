package sampler

// phases returns the measurements in their order. Those of a phase run at the
// same time: only times of events and counts are taken where there are several,
// never processor time.
func (s *Sampler) phases() [][]measurement {
	return [][]measurement{
		{{"changes", s.measureChanges}, {"baseline_changes", s.measureBaselineChanges}, {"duties", s.measureDuties}},
		{{"callers", s.measureCallers}},
		{{"groups", s.measureGroups}},
		{{"instances", s.measureInstances}},
		{{"parts", s.measureParts}},
		{{"baseline_instances", s.measureBaselineInstances}},
	}
}
