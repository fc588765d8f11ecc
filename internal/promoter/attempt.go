package promoter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"marigoldhub.example/hub/internal/tracker"
)

const (
	planMark  = "/plan="
	doneMark  = "/done="
	separator = ","
)

// attemptID names one attempt. A name that two attempts shared would let both
// promote a server in the same term. The name also carries the planned change
// that the attempt is for, with its target, and the planned changes that took
// effect before. The servers keep it, so instances that are all replaced at
// once still know these changes.
func attemptID(instance string, plan Plan, done []string) string {
	id := fmt.Sprintf("%s/%016x", instance, rand.Uint64())
	if plan.ID != "" {
		id += planMark + plan.ID + separator + plan.To
	}
	if len(done) > 0 {
		id += doneMark + strings.Join(done, separator)
	}
	return id
}

// parseAttempt returns the planned changes that attemptID put into the name.
func parseAttempt(id string) (plan Plan, done []string) {
	rest, list, _ := strings.Cut(id, doneMark)
	if list != "" {
		done = strings.Split(list, separator)
	}
	if _, spec, ok := strings.Cut(rest, planMark); ok {
		plan.ID, plan.To, _ = strings.Cut(spec, separator)
	}
	return plan, done
}

// DoneChanges returns the identifiers of planned changes that are known from
// the servers to have taken effect: those that a promoter called done, and the
// one for which the established primary was promoted.
func DoneChanges(s tracker.State) []string {
	var ids []string
	for _, o := range s.Servers {
		plan, done := parseAttempt(o.Status.Promoter)
		ids = append(ids, done...)
		if plan.ID != "" && s.Primary != "" && plan.To == s.Primary && o.Status.Term == s.Term {
			ids = append(ids, plan.ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
