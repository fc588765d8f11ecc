package examiner

import "sort"

const ruleOwnWrites = "read_your_writes"

// OwnWrites checks that a read of a session shows at least the last value that
// the same session wrote to the key and was told done. Values of a key must
// grow, and each key must have one writing session.
func OwnWrites(history []Operation) []Violation {
	type place struct {
		session int
		key     string
	}
	sorted := byStart(history)
	last := map[place]int64{}
	judged := 0
	var found []Violation
	for _, op := range sorted {
		p := place{op.Session, op.Key}
		if op.Outcome != Done {
			continue
		}
		switch op.Kind {
		case Write:
			last[p] = max(last[p], op.Value)
		case StrictRead, BoundedRead:
			want, wrote := last[p]
			if !wrote {
				continue
			}
			judged++
			if op.Got < want {
				found = append(found, violationf(ruleOwnWrites,
					"session %d read %d from key %s at %v after its own write of %d", op.Session, op.Got, op.Key, op.Start, want))
			}
		}
	}
	if judged == 0 {
		return nothingJudged(ruleOwnWrites)
	}
	return found
}

func byStart(history []Operation) []Operation {
	sorted := append([]Operation(nil), history...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Start < sorted[j].Start })
	return sorted
}
