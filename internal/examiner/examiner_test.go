package examiner

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func write(session int, key string, value int64, start, end time.Duration, o Outcome) Operation {
	return Operation{Caller: session, Session: session, Kind: Write, Key: key, Value: value, Start: start, End: end, Outcome: o}
}

func read(kind Kind, session int, key string, got int64, start, end time.Duration) Operation {
	return Operation{Caller: session, Session: session, Kind: kind, Key: key, Got: got, Start: start, End: end, Outcome: Done, MaxAge: 10 * ms}
}

// TestCheckers guards against a check that accepts a history it must reject,
// which would invalidate every test that uses it.
func TestCheckers(t *testing.T) {
	onRows := func(check func([]Operation, RowCounts) []Violation, final RowCounts) func([]Operation) []Violation {
		return func(h []Operation) []Violation { return check(h, final) }
	}
	keyed := func(o Outcome) Operation { return Operation{Kind: KeyedRequest, Key: "k", Outcome: o} }
	insert := func(o Outcome) Operation { return Operation{Kind: Insert, Key: "k", Outcome: o} }
	pair := func(o Outcome) Operation { return Operation{Kind: PairInsert, Key: "k", Outcome: o} }
	echo := func(v, got int64) Operation { return Operation{Kind: Echo, Value: v, Got: got, Outcome: Done} }
	cases := []struct {
		name    string
		check   func([]Operation) []Violation
		history []Operation
		ok      bool
	}{
		{"register empty", CheckLinearizability, nil, false},
		{"register good", CheckLinearizability, []Operation{write(1, "a", 1, 0, 2*ms, Done), read(LinearizableRead, 2, "a", 1, 3*ms, 4*ms)}, true},
		{"register stale read", CheckLinearizability, []Operation{write(1, "a", 1, 0, 2*ms, Done), read(LinearizableRead, 2, "a", 0, 3*ms, 4*ms)}, false},
		{"register unknown write read", CheckLinearizability, []Operation{write(1, "a", 1, 0, 2*ms, Unknown), read(LinearizableRead, 2, "a", 1, 3*ms, 4*ms)}, true},
		{"register unknown write never read", CheckLinearizability, []Operation{write(1, "a", 1, 0, 2*ms, Unknown), read(LinearizableRead, 2, "a", 0, 3*ms, 4*ms)}, true},
		{"register unknown write read, then undone", CheckLinearizability, []Operation{
			write(1, "a", 1, 0, 2*ms, Unknown), read(LinearizableRead, 2, "a", 1, 3*ms, 4*ms), read(LinearizableRead, 2, "a", 0, 5*ms, 6*ms),
		}, false},
		{"register not executed write read", CheckLinearizability, []Operation{write(1, "a", 1, 0, 2*ms, NotExecuted), read(LinearizableRead, 2, "a", 1, 3*ms, 4*ms)}, false},
		{"own write read", CheckReadYourWrites, []Operation{write(1, "a", 1, 0, 2*ms, Done), read(BoundedRead, 1, "a", 1, 3*ms, 4*ms)}, true},
		{"own write missed", CheckReadYourWrites, []Operation{write(1, "a", 1, 0, 2*ms, Done), read(BoundedRead, 1, "a", 0, 3*ms, 4*ms)}, false},
		{"own write of another session", CheckReadYourWrites, []Operation{write(1, "a", 1, 0, 2*ms, Done), read(BoundedRead, 2, "a", 0, 3*ms, 4*ms)}, false},
		{"insert durable", onRows(CheckDurability, RowCounts{"k": 1}), []Operation{insert(Done)}, true},
		{"insert lost", onRows(CheckDurability, RowCounts{}), []Operation{insert(Done)}, false},
		{"not executed, no row", onRows(CheckNotExecuted, RowCounts{}), []Operation{insert(NotExecuted)}, true},
		{"not executed, but row", onRows(CheckNotExecuted, RowCounts{"k": 1}), []Operation{insert(NotExecuted)}, false},
		{"took effect once", onRows(CheckAtMostOnce, RowCounts{"k": 1}), []Operation{keyed(Unknown), keyed(Done)}, true},
		{"took effect twice", onRows(CheckAtMostOnce, RowCounts{"k": 2}), []Operation{keyed(Unknown), keyed(Done)}, false},
		{"done without effect", onRows(CheckAtMostOnce, RowCounts{}), []Operation{keyed(Done)}, false},
		{"not executed with effect", onRows(CheckAtMostOnce, RowCounts{"k": 1}), []Operation{keyed(NotExecuted)}, false},
		{"pair complete", onRows(CheckAtomicity, RowCounts{"k": 2}), []Operation{pair(Unknown)}, true},
		{"pair incomplete", onRows(CheckAtomicity, RowCounts{"k": 1}), []Operation{pair(Unknown)}, false},
		{"pair doubled", onRows(CheckAtomicity, RowCounts{"k": 3}), []Operation{pair(Done)}, false},
		{"own answer", CheckEchoAnswers, []Operation{echo(4, 4)}, true},
		{"answer of another", CheckEchoAnswers, []Operation{echo(4, 5)}, false},
		{"no unknown outcome", CheckNoUnknownOutcomes, []Operation{insert(Done), insert(NotExecuted)}, true},
		{"unknown outcome", CheckNoUnknownOutcomes, []Operation{insert(Done), insert(Unknown)}, false},
		{"within maximum age", CheckMaxAge, []Operation{write(1, "a", 1, 0, 2*ms, Done), read(BoundedRead, 2, "a", 0, 11*ms, 14*ms)}, true},
		{"maximum age exceeded", CheckMaxAge, []Operation{write(1, "a", 1, 0, 2*ms, Done), read(BoundedRead, 2, "a", 0, 13*ms, 14*ms)}, false},
		{"no bounded read", CheckMaxAge, []Operation{write(1, "a", 1, 0, 2*ms, Done)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := c.check(c.history)
			if ok := len(found) == 0; ok != c.ok {
				t.Errorf("accepted = %v, want %v; violations: %v", ok, c.ok, found)
			}
		})
	}
}
