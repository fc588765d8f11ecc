package examiner

const (
	ruleSurvival = "acknowledged_writes_survive"
	ruleNotRun   = "not_run_is_true"
	ruleOnce     = "at_most_once"
	ruleAtomic   = "transactions_do_not_mix"
)

// Rows counts how often each key stands in the final content of a table.
type Rows map[string]int

// Survival checks that each insert told done stands in the final rows.
func Survival(history []Operation, final Rows) []Violation {
	return checkRows(ruleSurvival, history, Insert, func(op Operation, n int) bool {
		return op.Outcome != Done || n >= 1
	}, final)
}

// NotRunTruth checks that no insert told not run stands in the final rows.
func NotRunTruth(history []Operation, final Rows) []Violation {
	return checkRows(ruleNotRun, history, Insert, func(op Operation, n int) bool {
		return op.Outcome != NotRun || n == 0
	}, final)
}

// AtMostOnce checks that each keyed request took effect at most once, exactly
// once when one of its attempts was told done, and not at all when every
// attempt was told not run.
func AtMostOnce(history []Operation, final Rows) []Violation {
	type told struct{ done, other bool }
	byKey := map[string]told{}
	for _, op := range history {
		if op.Kind != Keyed {
			continue
		}
		t := byKey[op.Key]
		t.done = t.done || op.Outcome == Done
		t.other = t.other || op.Outcome == Unknown
		byKey[op.Key] = t
	}
	if len(byKey) == 0 {
		return nothingJudged(ruleOnce)
	}
	var found []Violation
	for key, t := range byKey {
		n := final[key]
		switch {
		case n > 1:
			found = append(found, violationf(ruleOnce, "request %s took effect %d times", key, n))
		case t.done && n == 0:
			found = append(found, violationf(ruleOnce, "request %s was told done and has no effect", key))
		case !t.done && !t.other && n > 0:
			found = append(found, violationf(ruleOnce, "request %s was told not run and took effect", key))
		}
	}
	return found
}

// Separation checks that the two rows of each pair stand together or not at
// all, and twice when the pair was told done.
func Separation(history []Operation, final Rows) []Violation {
	return checkRows(ruleAtomic, history, Pair, func(op Operation, n int) bool {
		switch op.Outcome {
		case Done:
			return n == 2
		case NotRun:
			return n == 0
		default:
			return n == 0 || n == 2
		}
	}, final)
}

func checkRows(rule string, history []Operation, kind Kind, allowed func(Operation, int) bool, final Rows) []Violation {
	judged := 0
	var found []Violation
	for _, op := range history {
		if op.Kind != kind {
			continue
		}
		judged++
		if n := final[op.Key]; !allowed(op, n) {
			found = append(found, violationf(rule, "key %s was told %s and stands %d times in the final rows", op.Key, op.Outcome, n))
		}
	}
	if judged == 0 {
		return nothingJudged(rule)
	}
	return found
}
