package examiner

import "fmt"

// Violation is one finding of a checker.
type Violation struct {
	Rule   string
	Detail string
}

func (v Violation) String() string { return v.Rule + ": " + v.Detail }

func violationf(rule, format string, args ...any) Violation {
	return Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)}
}

// noCheckedOperations is returned by a checker that found nothing to judge.
func noCheckedOperations(rule string) []Violation {
	return []Violation{violationf(rule, "the history holds no operation that this rule judges")}
}
