package tracker

import "slices"

// State is a snapshot of a group on which promotions are decided.
type State struct {
	// Term, Primary and Lineage are those of the established term.
	Term    uint64
	Primary string
	Lineage Lineage
	// Confirmed is the highest confirmed position known.
	Confirmed Position
	// Servers has one entry for each server of the group.
	Servers []Observation
}

// Server returns the observation of the named server, which is empty except for
// the name if there is no such server.
func (s State) Server(name string) Observation {
	for _, o := range s.Servers {
		if o.Server == name {
			return o
		}
	}
	return Observation{Server: name}
}

// HighestTerm returns the highest term that any server is known to have
// accepted.
func (s State) HighestTerm() uint64 {
	highest := s.Term
	for _, o := range s.Servers {
		highest = max(highest, o.Status.Term)
	}
	return highest
}

// Leader returns the server that leads the term according to its newest status,
// and false if there is none.
func (s State) Leader(term uint64) (Observation, bool) {
	for _, o := range s.Servers {
		if o.participatesIn(term) && o.Status.Role == RolePrimary {
			return o, true
		}
	}
	return Observation{}, false
}

// State returns the current state.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return State{
		Term:      t.term,
		Primary:   t.primary,
		Lineage:   t.lineage,
		Confirmed: t.confirmed,
		Servers:   slices.Clone(t.servers),
	}
}
