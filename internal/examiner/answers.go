package examiner

const ruleEchoAnswers = "own_answer"

// CheckEchoAnswers checks that every echo returned the value that its own
// caller sent, so that no caller got another one's answer.
func CheckEchoAnswers(history []Operation) []Violation {
	checked := 0
	var found []Violation
	for _, op := range history {
		if op.Kind != Echo || op.Outcome != Done {
			continue
		}
		checked++
		if op.Got != op.Value {
			found = append(found, violationf(ruleEchoAnswers, "caller %d sent %d and got %d", op.Caller, op.Value, op.Got))
		}
	}
	if checked == 0 {
		return noCheckedOperations(ruleEchoAnswers)
	}
	return found
}

const ruleNoUnknownOutcomes = "nothing_cut_off"

// CheckNoUnknownOutcomes checks that no operation has an unknown outcome. It
// applies to histories in which instances and servers stop only as planned.
func CheckNoUnknownOutcomes(history []Operation) []Violation {
	if len(history) == 0 {
		return noCheckedOperations(ruleNoUnknownOutcomes)
	}
	var found []Violation
	for _, op := range history {
		if op.Outcome == Unknown {
			found = append(found, violationf(ruleNoUnknownOutcomes, "caller %d: outcome of %s %s is unknown, %v to %v", op.Caller, op.Kind, op.Key, op.Start, op.End))
		}
	}
	return found
}
