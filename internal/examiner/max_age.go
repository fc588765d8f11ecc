package examiner

import (
	"sort"
	"time"
)

const ruleMaxAge = "stated_age"

// CheckMaxAge checks bounded reads: a read that returned value v is too old when
// a greater value of the key had been acknowledged more than MaxAge before the
// read began.
func CheckMaxAge(history []Operation) []Violation {
	writes := acknowledgedWrites(history)
	checked := 0
	var found []Violation
	for _, op := range history {
		if op.Kind != BoundedRead || op.Outcome != Done {
			continue
		}
		checked++
		overwritten, ok := overwrittenAt(writes[op.Key], op.Got)
		if ok && overwritten < op.Start-op.MaxAge {
			found = append(found, violationf(ruleMaxAge, "caller %d read %d from key %s at %v, overwritten at %v, maximum age %v",
				op.Caller, op.Got, op.Key, op.Start, overwritten, op.MaxAge))
		}
	}
	if checked == 0 {
		return noCheckedOperations(ruleMaxAge)
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

// overwrittenAt returns the earliest time at which a value greater than v was
// acknowledged.
func overwrittenAt(writes []Operation, v int64) (time.Duration, bool) {
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
