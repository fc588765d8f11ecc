package approver

import (
	"fmt"
	"slices"
)

// OwnerChange is one difference between two states of the co-owners' keys.
type OwnerChange struct {
	Owner string
	// Text says what changed, without the co-owner's name.
	Text string
}

// DiffOwners returns what changes between two states of the part "owners": co-owners that
// leave or change in the order of before, then new ones. Keys are shown by their IDs.
func DiffOwners(before, after Owners) []OwnerChange {
	var changes []OwnerChange
	for _, b := range before.Owners {
		i := slices.IndexFunc(after.Owners, func(a Owner) bool { return a.Name == b.Name })
		if i < 0 {
			changes = append(changes, OwnerChange{b.Name, "removed; approvals with its keys no longer count"})
			continue
		}
		changes = appendKeys(changes, b.Name, after.Owners[i].Keys, b.Keys, "added")
		changes = appendKeys(changes, b.Name, b.Keys, after.Owners[i].Keys, "withdrawn")
	}
	for _, a := range after.Owners {
		if !slices.ContainsFunc(before.Owners, func(b Owner) bool { return b.Name == a.Name }) {
			changes = append(changes, OwnerChange{a.Name, "added"})
			changes = appendKeys(changes, a.Name, a.Keys, nil, "added")
		}
	}
	return changes
}

// appendKeys adds a change for each key of list that others lacks.
func appendKeys(changes []OwnerChange, owner string, list, others []OwnerKey, what string) []OwnerChange {
	for _, key := range list {
		if !slices.Contains(others, key) {
			changes = append(changes, OwnerChange{owner, fmt.Sprintf("key %s %s", key.ID, what)})
		}
	}
	return changes
}
