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
