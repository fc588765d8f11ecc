package examiner

import "fmt"

// Violation is one breach of a guarantee, found by a check. Rule is the name of
// the guarantee.
type Violation struct {
	Rule   string
	Detail string
}

// String returns the rule and the detail.
func (v Violation) String() string { return v.Rule + ": " + v.Detail }

func violationf(rule, format string, args ...any) Violation {
	return Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)}
}

// noCheckedOperations is returned by a check that found no operation to check.
func noCheckedOperations(rule string) []Violation {
	return []Violation{violationf(rule, "the history contains no operation that this rule applies to")}
}
