package informer

import (
	"slices"

	"github.com/sirupsen/logrus"
)

// maxLoggedTeams limits the names of teams in one log line.
const maxLoggedTeams = 16

// addTeamChanges adds what an operator needs to see about teams to the fields of a log
// line: how many teams and keys there are, how many keys were added and withdrawn, and
// the names of their teams. A key that moved counts as both.
func addTeamChanges(fields logrus.Fields, old, c *Configuration) {
	if !c.HasTeams() && (old == nil || !old.HasTeams()) {
		return
	}
	var before map[KeyDigest]string
	if old != nil {
		before = old.TeamsByKey
	}
	added, withdrawn := differentKeys(c.TeamsByKey, before), differentKeys(before, c.TeamsByKey)
	fields["teams"], fields["keys"] = len(c.Teams), len(c.TeamsByKey)
	for name, teams := range map[string][]string{"added": added, "withdrawn": withdrawn} {
		fields["keys_"+name] = len(teams)
		if slices.Sort(teams); old != nil && len(teams) > 0 {
			teams = slices.Compact(teams)
			fields["teams_"+name] = teams[:min(len(teams), maxLoggedTeams)]
		}
	}
}

// differentKeys returns the team of each key in a that b has not or has for another team.
func differentKeys(a, b map[KeyDigest]string) []string {
	var teams []string
	for key, team := range a {
		if other, ok := b[key]; !ok || other != team {
			teams = append(teams, team)
		}
	}
	return teams
}
