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

// attemptID names one attempt. A name that two attempts shared would let both
// promote a server in the same term. The name also carries the planned change
// that the attempt is for, with its target, and the planned changes that took
// effect before. The servers keep it, so instances that are all replaced at
// once still know these changes.
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

// parseAttemptID returns the planned changes that attemptID put into the name.
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

// CompletedChanges returns the identifiers of planned changes that are known from
// the servers to have taken effect: those that a promoter called done, and the
// one for which the established primary, or a target that has led and is out of
// reach, was promoted.
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

// hasLedUnobserved reports whether the target of the change that the server was
// fenced for led that term although this instance has not seen it: the server's
// log has records of the term, the target is out of reach, and no other server
// leads the term.
func hasLedUnobserved(s tracker.State, o tracker.Observation, target string) bool {
	if !o.Seen() || o.Status.Term == 0 || o.Status.Log.Term != o.Status.Term || s.Server(target).Reachable() {
		return false
	}
	_, led := s.Leader(o.Status.Term)
	return !led
}
