package examiner

const ruleAnswers = "own_answer"

// Answers checks that every echo returned what its own caller asked for.
func Answers(history []Operation) []Violation {
	judged := 0
	var found []Violation
	for _, op := range history {
		if op.Kind != Echo || op.Outcome != Done {
			continue
		}
		judged++
		if op.Got != op.Value {
			found = append(found, violationf(ruleAnswers, "caller %d asked for %d and got %d", op.Caller, op.Value, op.Got))
		}
	}
	if judged == 0 {
		return nothingJudged(ruleAnswers)
	}
	return found
}

const ruleCutOff = "nothing_cut_off"

// NothingCutOff checks that no operation ended without a clear answer. It
// holds for histories in which every stop was planned.
func NothingCutOff(history []Operation) []Violation {
	if len(history) == 0 {
		return nothingJudged(ruleCutOff)
	}
	var found []Violation
	for _, op := range history {
		if op.Outcome == Unknown {
			found = append(found, violationf(ruleCutOff, "caller %d got no clear answer to %s %s, %v to %v", op.Caller, op.Kind, op.Key, op.Start, op.End))
		}
	}
	return found
}
