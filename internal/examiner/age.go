package examiner

import (
	"sort"
	"time"
)

const ruleAge = "stated_age"

// Ages checks bounded reads: a read that returned value v is too old when a
// greater value of the key had been acknowledged more than MaxAge before the
// read began.
func Ages(history []Operation) []Violation {
	writes := acknowledgedWrites(history)
	judged := 0
	var found []Violation
	for _, op := range history {
		if op.Kind != BoundedRead || op.Outcome != Done {
			continue
		}
		judged++
		replaced, ok := replacedAt(writes[op.Key], op.Got)
		if ok && replaced < op.Start-op.MaxAge {
			found = append(found, violationf(ruleAge, "caller %d read %d from key %s at %v, replaced at %v, stated age %v",
				op.Caller, op.Got, op.Key, op.Start, replaced, op.MaxAge))
		}
	}
	if judged == 0 {
		return nothingJudged(ruleAge)
	}
	return found
}

func acknowledgedWrites(history []Operation) map[string][]Operation {
	writes := map[string][]Operation{}
	for _, op := range history {
		if op.Kind == Write && op.Outcome == Done {
			writes[op.Key] = append(writes[op.Key], op)
		}
	}
	for _, ops := range writes {
		sort.Slice(ops, func(i, j int) bool { return ops[i].Value < ops[j].Value })
	}
	return writes
}

// replacedAt returns the earliest time at which a value greater than v was
// acknowledged.
func replacedAt(writes []Operation, v int64) (time.Duration, bool) {
	first := sort.Search(len(writes), func(i int) bool { return writes[i].Value > v })
	if first == len(writes) {
		return 0, false
	}
	earliest := writes[first].End
	for _, op := range writes[first+1:] {
		earliest = min(earliest, op.End)
	}
	return earliest, true
}
