package examiner

import "sort"

const ruleReadYourWrites = "read_your_writes"

// CheckReadYourWrites checks that a read returns at least the last value that
// the same session wrote to the key and that was reported as done. The values
// of a key must increase, and each key must be written by one session only.
func CheckReadYourWrites(history []Operation) []Violation {
	type sessionKey struct {
		session int
		key     string
	}
	sorted := byStart(history)
	last := map[sessionKey]int64{}
	checked := 0
	var found []Violation
	for _, op := range sorted {
		k := sessionKey{op.Session, op.Key}
		if op.Outcome != Done {
			continue
		}
		switch op.Kind {
		case Write:
			last[k] = max(last[k], op.Value)
		case LinearizableRead, BoundedRead:
			want, wrote := last[k]
			if !wrote {
				continue
			}
			checked++
			if op.Got < want {
				found = append(found, violationf(ruleReadYourWrites,
					"session %d read %d from key %s at %v after its own write of %d", op.Session, op.Got, op.Key, op.Start, want))
			}
		}
	}
	if checked == 0 {
		return noCheckedOperations(ruleReadYourWrites)
	}
	return found
}

func byStart(history []Operation) []Operation {
	sorted := append([]Operation(nil), history...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Start < sorted[j].Start })
	return sorted
}
