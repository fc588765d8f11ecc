package checker

import (
	"fmt"
	"slices"
	"strings"

	"marigoldhub.example/hub/internal/informer"
)

// TeamChange is one difference between two states of a team.
type TeamChange struct {
	Team string
	// Key is the fingerprint of the key that was added or withdrawn; empty for other
	// changes.
	Key string
	// IsWithdrawal is true if members that could connect before no longer can.
	IsWithdrawal bool
	// Text says what changed, without the team's name.
	Text string
}

// String returns the change as a line for operators.
func (c TeamChange) String() string { return fmt.Sprintf("team %q: %s", c.Team, c.Text) }

// DiffTeams returns what changes between two lists of teams, in order of the teams'
// names.
func DiffTeams(before, after []Team) []TeamChange {
	var changes []TeamChange
	for _, b := range before {
		if a, ok := teamNamed(after, b.Name); ok {
			changes = append(changes, diffTeam(b, a)...)
			continue
		}
		changes = append(changes, TeamChange{Team: b.Name, IsWithdrawal: true, Text: "removed; its connections end"})
		changes = append(changes, diffKeys(b.Name, b.Keys, nil)...)
	}
	for _, a := range after {
		if _, ok := teamNamed(before, a.Name); ok {
			continue
		}
		changes = append(changes, TeamChange{Team: a.Name, Text: fmt.Sprintf(
			"new; may use %s, at most %d connections and %d pinned at an instance", strings.Join(a.Groups, ", "), a.ConnectionLimit, a.PinnedLimit)})
		changes = append(changes, diffKeys(a.Name, nil, a.Keys)...)
		changes = append(changes, diffQuota(Team{}, a)...)
	}
	slices.SortStableFunc(changes, func(x, y TeamChange) int { return strings.Compare(x.Team, y.Team) })
	return changes
}

func teamNamed(teams []Team, name string) (Team, bool) {
	i := slices.IndexFunc(teams, func(t Team) bool { return t.Name == name })
	if i < 0 {
		return Team{}, false
	}
	return teams[i], true
}

func diffTeam(before, after Team) []TeamChange {
	changes := diffKeys(after.Name, before.Keys, after.Keys)
	for _, g := range missing(after.Groups, before.Groups) {
		changes = append(changes, TeamChange{Team: after.Name, Text: fmt.Sprintf("may use group %q", g)})
	}
	for _, g := range missing(before.Groups, after.Groups) {
		changes = append(changes, TeamChange{Team: after.Name, IsWithdrawal: true, Text: fmt.Sprintf("may no longer use group %q; its connections there end", g)})
	}
	changes = appendLimit(changes, after.Name, "connection_limit", before.ConnectionLimit, after.ConnectionLimit)
	changes = appendLimit(changes, after.Name, "pinned_limit", before.PinnedLimit, after.PinnedLimit)
	return append(changes, diffQuota(before, after)...)
}

// diffQuota returns what changes in a team's rate and burst. A quota that is added or removed
// is named as such, because a missing rate means no limit.
func diffQuota(before, after Team) []TeamChange {
	team := after.Name
	switch hadQuota, hasQuota := before.RatePerSecond > 0, after.RatePerSecond > 0; {
	case !hadQuota && !hasQuota:
		return nil
	case !hadQuota:
		return []TeamChange{{Team: team, Text: fmt.Sprintf("rate_per_second added: %v, with a burst of %v, over all instances", after.RatePerSecond, after.Burst)}}
	case !hasQuota:
		return []TeamChange{{Team: team, Text: fmt.Sprintf("rate_per_second of %v and burst of %v removed; its operations are not limited", before.RatePerSecond, before.Burst)}}
	}
	changes := appendLimit(nil, team, "rate_per_second", before.RatePerSecond, after.RatePerSecond)
	return appendLimit(changes, team, "burst", before.Burst, after.Burst)
}

func diffKeys(team string, before, after []string) []TeamChange {
	var changes []TeamChange
	for _, key := range missing(after, before) {
		f := fingerprintOf(key)
		changes = append(changes, TeamChange{Team: team, Key: f, Text: "key " + f + " added"})
	}
	for _, key := range missing(before, after) {
		f := fingerprintOf(key)
		changes = append(changes, TeamChange{Team: team, Key: f, IsWithdrawal: true, Text: "key " + f + " withdrawn; its connections end"})
	}
	return changes
}

func appendLimit[T int | float64](changes []TeamChange, team, name string, before, after T) []TeamChange {
	switch {
	case before < after:
		return append(changes, TeamChange{Team: team, Text: fmt.Sprintf("%s raised from %v to %v", name, before, after)})
	case before > after:
		return append(changes, TeamChange{Team: team, Text: fmt.Sprintf("%s lowered from %v to %v", name, before, after)})
	}
	return changes
}

// missing returns the elements of list that others lacks.
func missing(list, others []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(others, s) })
}

// fingerprintOf returns the fingerprint of a digest's text.
func fingerprintOf(digest string) string {
	var d informer.KeyDigest
	if err := d.UnmarshalText([]byte(digest)); err != nil {
		return "(no digest)"
	}
	return d.Fingerprint()
}
