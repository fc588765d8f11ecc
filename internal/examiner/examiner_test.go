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

// Guards against a checker that accepts a history it must reject, which would
// make every proof that uses it worthless.
func TestCheckers(t *testing.T) {
	onRows := func(check func([]Operation, Rows) []Violation, final Rows) func([]Operation) []Violation {
		return func(h []Operation) []Violation { return check(h, final) }
	}
	keyed := func(o Outcome) Operation { return Operation{Kind: Keyed, Key: "k", Outcome: o} }
	insert := func(o Outcome) Operation { return Operation{Kind: Insert, Key: "k", Outcome: o} }
	pair := func(o Outcome) Operation { return Operation{Kind: Pair, Key: "k", Outcome: o} }
	echo := func(v, got int64) Operation { return Operation{Kind: Echo, Value: v, Got: got, Outcome: Done} }
	cases := []struct {
		name    string
		check   func([]Operation) []Violation
		history []Operation
		ok      bool
	}{
		{"register empty", Registers, nil, false},
		{"register good", Registers, []Operation{write(1, "a", 1, 0, 2*ms, Done), read(StrictRead, 2, "a", 1, 3*ms, 4*ms)}, true},
		{"register stale read", Registers, []Operation{write(1, "a", 1, 0, 2*ms, Done), read(StrictRead, 2, "a", 0, 3*ms, 4*ms)}, false},
		{"register unknown seen", Registers, []Operation{write(1, "a", 1, 0, 2*ms, Unknown), read(StrictRead, 2, "a", 1, 3*ms, 4*ms)}, true},
		{"register unknown never seen", Registers, []Operation{write(1, "a", 1, 0, 2*ms, Unknown), read(StrictRead, 2, "a", 0, 3*ms, 4*ms)}, true},
		{"register unknown taken back", Registers, []Operation{
			write(1, "a", 1, 0, 2*ms, Unknown), read(StrictRead, 2, "a", 1, 3*ms, 4*ms), read(StrictRead, 2, "a", 0, 5*ms, 6*ms),
		}, false},
		{"register not run seen", Registers, []Operation{write(1, "a", 1, 0, 2*ms, NotRun), read(StrictRead, 2, "a", 1, 3*ms, 4*ms)}, false},
		{"own write kept", OwnWrites, []Operation{write(1, "a", 1, 0, 2*ms, Done), read(BoundedRead, 1, "a", 1, 3*ms, 4*ms)}, true},
		{"own write missed", OwnWrites, []Operation{write(1, "a", 1, 0, 2*ms, Done), read(BoundedRead, 1, "a", 0, 3*ms, 4*ms)}, false},
		{"own write of another session", OwnWrites, []Operation{write(1, "a", 1, 0, 2*ms, Done), read(BoundedRead, 2, "a", 0, 3*ms, 4*ms)}, false},
		{"insert survives", onRows(Survival, Rows{"k": 1}), []Operation{insert(Done)}, true},
		{"insert lost", onRows(Survival, Rows{}), []Operation{insert(Done)}, false},
		{"not run true", onRows(NotRunTruth, Rows{}), []Operation{insert(NotRun)}, true},
		{"not run false", onRows(NotRunTruth, Rows{"k": 1}), []Operation{insert(NotRun)}, false},
		{"once", onRows(AtMostOnce, Rows{"k": 1}), []Operation{keyed(Unknown), keyed(Done)}, true},
		{"twice", onRows(AtMostOnce, Rows{"k": 2}), []Operation{keyed(Unknown), keyed(Done)}, false},
		{"done without effect", onRows(AtMostOnce, Rows{}), []Operation{keyed(Done)}, false},
		{"not run with effect", onRows(AtMostOnce, Rows{"k": 1}), []Operation{keyed(NotRun)}, false},
		{"pair whole", onRows(Separation, Rows{"k": 2}), []Operation{pair(Unknown)}, true},
		{"pair torn", onRows(Separation, Rows{"k": 1}), []Operation{pair(Unknown)}, false},
		{"pair doubled", onRows(Separation, Rows{"k": 3}), []Operation{pair(Done)}, false},
		{"own answer", Answers, []Operation{echo(4, 4)}, true},
		{"answer of another", Answers, []Operation{echo(4, 5)}, false},
		{"nothing cut off", NothingCutOff, []Operation{insert(Done), insert(NotRun)}, true},
		{"request cut off", NothingCutOff, []Operation{insert(Done), insert(Unknown)}, false},
		{"age kept", Ages, []Operation{write(1, "a", 1, 0, 2*ms, Done), read(BoundedRead, 2, "a", 0, 11*ms, 14*ms)}, true},
		{"age exceeded", Ages, []Operation{write(1, "a", 1, 0, 2*ms, Done), read(BoundedRead, 2, "a", 0, 13*ms, 14*ms)}, false},
		{"age none judged", Ages, []Operation{write(1, "a", 1, 0, 2*ms, Done)}, false},
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
