package router

import (
	"slices"
	"strings"
	"time"

	"marigoldhub.example/hub/internal/checker"
)

// MaxAge returns the lowest age that the rules allow for any of the tables. It
// returns false when there is no table or a table has no rule.
func MaxAge(rules []checker.ReadRule, tables []string) (time.Duration, bool) {
	if len(tables) == 0 {
		return 0, false
	}
	var lowest time.Duration
	for i, table := range tables {
		age, ok := tableAge(rules, table)
		if !ok {
			return 0, false
		}
		if i == 0 || age < lowest {
			lowest = age
		}
	}
	return lowest, true
}

func tableAge(rules []checker.ReadRule, table string) (time.Duration, bool) {
	var lowest time.Duration
	found := false
	for _, r := range rules {
		named := slices.ContainsFunc(r.Tables, func(t string) bool { return strings.TrimPrefix(t, "public.") == table })
		if !named {
			continue
		}
		if age := time.Duration(r.MaxAge); !found || age < lowest {
			lowest, found = age, true
		}
	}
	return lowest, found
}
