package examiner

const (
	ruleDurability  = "acknowledged_writes_survive"
	ruleNotExecuted = "not_run_is_true"
	ruleAtMostOnce  = "at_most_once"
	ruleAtomicity   = "transactions_do_not_mix"
)

// RowCounts tells how many rows of a table's final content have each key.
type RowCounts map[string]int

// CheckDurability checks that the row of each insert reported as done is in the
// final rows.
func CheckDurability(history []Operation, final RowCounts) []Violation {
	return checkRows(ruleDurability, history, Insert, func(op Operation, n int) bool {
		return op.Outcome != Done || n >= 1
	}, final)
}

// CheckNotExecuted checks that the row of no insert reported as not executed is
// in the final rows.
func CheckNotExecuted(history []Operation, final RowCounts) []Violation {
	return checkRows(ruleNotExecuted, history, Insert, func(op Operation, n int) bool {
		return op.Outcome != NotExecuted || n == 0
	}, final)
}

// CheckAtMostOnce checks that each keyed request took effect at most once,
// exactly once when one of its attempts was reported as done, and not at all
// when every attempt was reported as not executed.
func CheckAtMostOnce(history []Operation, final RowCounts) []Violation {
	type reported struct{ done, other bool }
	byKey := map[string]reported{}
	for _, op := range history {
		if op.Kind != KeyedRequest {
			continue
		}
		t := byKey[op.Key]
		t.done = t.done || op.Outcome == Done
		t.other = t.other || op.Outcome == Unknown
		byKey[op.Key] = t
	}
	if len(byKey) == 0 {
		return noCheckedOperations(ruleAtMostOnce)
	}
	var found []Violation
	for key, t := range byKey {
		n := final[key]
		switch {
		case n > 1:
			found = append(found, violationf(ruleAtMostOnce, "request %s took effect %d times", key, n))
		case t.done && n == 0:
			found = append(found, violationf(ruleAtMostOnce, "request %s was reported as done and has no effect", key))
		case !t.done && !t.other && n > 0:
			found = append(found, violationf(ruleAtMostOnce, "request %s was reported as not executed and took effect", key))
		}
	}
	return found
}

// CheckAtomicity checks that the final rows contain both rows of each pair or
// none, both when the pair was reported as done, and none when it was reported
// as not executed.
func CheckAtomicity(history []Operation, final RowCounts) []Violation {
	return checkRows(ruleAtomicity, history, PairInsert, func(op Operation, n int) bool {
		switch op.Outcome {
		case Done:
			return n == 2
		case NotExecuted:
			return n == 0
		default:
			return n == 0 || n == 2
		}
	}, final)
}

func checkRows(rule string, history []Operation, kind Kind, allowed func(Operation, int) bool, final RowCounts) []Violation {
	checked := 0
	var found []Violation
	for _, op := range history {
		if op.Kind != kind {
			continue
		}
		checked++
		if n := final[op.Key]; !allowed(op, n) {
			found = append(found, violationf(rule, "key %s was reported as %s and is in %d of the final rows", op.Key, op.Outcome, n))
		}
	}
	if checked == 0 {
		return noCheckedOperations(rule)
	}
	return found
}
