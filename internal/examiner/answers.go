package examiner

const ruleEchoAnswers = "own_answer"

// CheckEchoAnswers checks that every echo returned what its own caller asked for.
func CheckEchoAnswers(history []Operation) []Violation {
	checked := 0
	var found []Violation
	for _, op := range history {
		if op.Kind != Echo || op.Outcome != Done {
			continue
		}
		checked++
		if op.Got != op.Value {
			found = append(found, violationf(ruleEchoAnswers, "caller %d asked for %d and got %d", op.Caller, op.Value, op.Got))
		}
	}
	if checked == 0 {
		return noCheckedOperations(ruleEchoAnswers)
	}
	return found
}

const ruleNoUnknownOutcomes = "nothing_cut_off"

// CheckNoUnknownOutcomes checks that no operation ended without a clear answer. It
// holds for histories in which every stop was planned.
func CheckNoUnknownOutcomes(history []Operation) []Violation {
	if len(history) == 0 {
		return noCheckedOperations(ruleNoUnknownOutcomes)
	}
	var found []Violation
	for _, op := range history {
		if op.Outcome == Unknown {
			found = append(found, violationf(ruleNoUnknownOutcomes, "caller %d got no clear answer to %s %s, %v to %v", op.Caller, op.Kind, op.Key, op.Start, op.End))
		}
	}
	return found
}
