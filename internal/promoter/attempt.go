package promoter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"marigoldhub.example/hub/internal/tracker"
)

const (
	planPrefix      = "/plan="
	completedPrefix = "/done="
	separator       = ","
)

// attemptID returns a new identifier of one attempt. It is unique, because two
// attempts with the same identifier could both promote a server in the same
// term. It also contains the planned change that the attempt is for, with its
// target, and the planned changes that took effect before. The servers report
// the identifier in their status, so these changes remain known when all
// instances are replaced at once.
func attemptID(instance string, plan Plan, done []string) string {
	id := fmt.Sprintf("%s/%016x", instance, rand.Uint64())
	if plan.ID != "" {
		id += planPrefix + plan.ID + separator + plan.To
	}
	if len(done) > 0 {
		id += completedPrefix + strings.Join(done, separator)
	}
	return id
}

// parseAttemptID returns the planned changes that the identifier contains.
func parseAttemptID(id string) (plan Plan, done []string) {
	rest, list, _ := strings.Cut(id, completedPrefix)
	if list != "" {
		done = strings.Split(list, separator)
	}
	if _, spec, ok := strings.Cut(rest, planPrefix); ok {
		plan.ID, plan.To, _ = strings.Cut(spec, separator)
	}
	return plan, done
}

// CompletedChanges returns the identifiers of the planned changes that took
// effect according to the servers' statuses: those that a promoter reported as
// completed, and those whose target is the established primary of the term that
// the change was fenced for, or led that term but is now unreachable.
func CompletedChanges(s tracker.State) []string {
	var ids []string
	for _, o := range s.Servers {
		plan, done := parseAttemptID(o.Status.Promoter)
		ids = append(ids, done...)
		if plan.ID == "" {
			continue
		}
		if s.Primary != "" && plan.To == s.Primary && o.Status.Term == s.Term || hasLedUnobserved(s, o, plan.To) {
			ids = append(ids, plan.ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// hasLedUnobserved reports whether the target of a planned change led the term
// that the server o was fenced for, although this instance never observed it:
// the log of o has records of the term, the target is unreachable, and no other
// server leads the term.
func hasLedUnobserved(s tracker.State, o tracker.Observation, target string) bool {
	if !o.Seen() || o.Status.Term == 0 || o.Status.Log.Term != o.Status.Term || s.Server(target).Reachable() {
		return false
	}
	_, led := s.Leader(o.Status.Term)
	return !led
}
