package measurer

import (
	"context"
	"fmt"
	"io"

	"marigoldhub.example/hub/internal/examiner"
)

// verdict counts broken promises.
type verdict struct {
	judged                               int
	lost, double, falseNotRun, staleRead int
	details                              []examiner.Violation
}

func (v *verdict) merge(w verdict) {
	v.judged += w.judged
	v.lost += w.lost
	v.double += w.double
	v.falseNotRun += w.falseNotRun
	v.staleRead += w.staleRead
	v.details = append(v.details, w.details...)
}

func (v *verdict) print(w io.Writer, user string) {
	for i, d := range v.details {
		if i == 10 {
			fmt.Fprintf(w, "# %s: %d more violations\n", user, len(v.details)-i)
			return
		}
		fmt.Fprintf(w, "# %s violation: %s\n", user, d)
	}
}

// judge compares the history of a group with the rows at its primary.
func (in installation) judge(ctx context.Context, group string, history []examiner.Operation) (verdict, error) {
	submissions, err := in.rows(ctx, group, "submission")
	if err != nil {
		return verdict{}, err
	}
	payments, err := in.rows(ctx, group, "payment")
	if err != nil {
		return verdict{}, err
	}
	return judgeRows(history, submissions, payments), nil
}

func judgeRows(history []examiner.Operation, submissions, payments examiner.RowCounts) verdict {
	v := verdict{judged: len(history)}
	inserts := selectKinds(history, examiner.Insert)
	keyed := selectKinds(history, examiner.KeyedRequest)
	note := func(count *int, found []examiner.Violation) {
		*count += len(found)
		v.details = append(v.details, found...)
	}
	note(&v.lost, examiner.CheckDurability(inserts, submissions))
	note(&v.falseNotRun, examiner.CheckNotExecuted(inserts, submissions))
	note(&v.double, insertedTwice(inserts, submissions))
	done, rest := splitKeyed(keyed)
	once := atMostOne(payments)
	if len(done) > 0 {
		note(&v.lost, examiner.CheckAtMostOnce(done, once))
		note(&v.double, insertedTwice(done, payments))
	}
	if len(rest) > 0 {
		note(&v.falseNotRun, examiner.CheckAtMostOnce(rest, once))
		note(&v.double, insertedTwice(rest, payments))
	}
	reads := selectKinds(history, examiner.Write, examiner.BoundedRead)
	if len(reads) > 0 {
		note(&v.staleRead, examiner.CheckReadYourWrites(reads))
		note(&v.staleRead, examiner.CheckMaxAge(reads))
	}
	return v
}

func selectKinds(history []examiner.Operation, kinds ...examiner.Kind) []examiner.Operation {
	var list []examiner.Operation
	for _, op := range history {
		for _, k := range kinds {
			if op.Kind == k {
				list = append(list, op)
			}
		}
	}
	return list
}

// splitKeyed separates the requests of which one attempt was told done.
func splitKeyed(history []examiner.Operation) (done, rest []examiner.Operation) {
	told := map[string]bool{}
	for _, op := range history {
		told[op.Key] = told[op.Key] || op.Outcome == examiner.Done
	}
	for _, op := range history {
		if told[op.Key] {
			done = append(done, op)
		} else {
			rest = append(rest, op)
		}
	}
	return done, rest
}

func atMostOne(rows examiner.RowCounts) examiner.RowCounts {
	capped := examiner.RowCounts{}
	for key, n := range rows {
		capped[key] = min(n, 1)
	}
	return capped
}

// insertedTwice finds keys of the history that stand more than once.
func insertedTwice(history []examiner.Operation, rows examiner.RowCounts) []examiner.Violation {
	seen := map[string]bool{}
	var found []examiner.Violation
	for _, op := range history {
		if n := rows[op.Key]; n > 1 && !seen[op.Key] {
			seen[op.Key] = true
			found = append(found, examiner.Violation{Rule: "at_most_once", Detail: fmt.Sprintf("key %s stands %d times", op.Key, n)})
		}
	}
	return found
}
