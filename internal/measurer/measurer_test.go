package measurer

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/examiner"
)

const ms = time.Millisecond

func done(kind examiner.Kind, key string, start, end time.Duration) examiner.Operation {
	return examiner.Operation{Caller: 1, Session: 1, Kind: kind, Key: key, Start: start, End: end, Outcome: examiner.Done}
}

// Guards against a gap that hides a failure without a good write after it, or
// counts a pause that ended before the fault.
func TestLongestGap(t *testing.T) {
	cases := []struct {
		name string
		ends []time.Duration
		want time.Duration
	}{
		{"interrupted", []time.Duration{900 * ms, 1000 * ms, 1700 * ms, 1705 * ms, 2000 * ms}, 700 * ms},
		{"no write after the fault", []time.Duration{900 * ms, 990 * ms}, 1010 * ms},
		{"pause before the fault", []time.Duration{700 * ms, 995 * ms, 1100 * ms, 1300 * ms, 1500 * ms, 1750 * ms, 1990 * ms}, 250 * ms},
		{"good write in flight at the fault", []time.Duration{990 * ms, 1003 * ms, 1500 * ms, 1900 * ms}, 497 * ms},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := longestGap(c.ends, 1000*ms, 2000*ms); got != c.want {
				t.Errorf("longestGap = %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a floor that counts reads after an own write, which no
// replica that is behind can serve.
func TestAttachFloor(t *testing.T) {
	history := []examiner.Operation{
		done(examiner.BoundedRead, "a", 0, ms),
		done(examiner.BoundedRead, "a", 600*ms, 601*ms),
		done(examiner.Write, "a", 700*ms, 705*ms),
		done(examiner.BoundedRead, "a", 710*ms, 711*ms),
		done(examiner.BoundedRead, "a", 1800*ms, 1801*ms),
	}
	reads, served := attachFloor(history, 500*ms, 2000*ms, time.Second, 50*ms)
	if reads != 3 || served != 2 {
		t.Errorf("attachFloor = %d of %d, want 2 of 3", served, reads)
	}
}

// Guards against a verdict that overlooks one kind of broken promise or
// reports one that is not there.
func TestJudgeRows(t *testing.T) {
	insert := func(o examiner.Outcome) examiner.Operation {
		return examiner.Operation{Kind: examiner.Insert, Key: "i", Outcome: o}
	}
	keyed := func(o examiner.Outcome) examiner.Operation {
		return examiner.Operation{Kind: examiner.KeyedRequest, Key: "k", Outcome: o}
	}
	cases := []struct {
		name                 string
		ops                  []examiner.Operation
		submission, payment  examiner.RowCounts
		lost, double, untrue int
	}{
		{"good", []examiner.Operation{insert(examiner.Done), keyed(examiner.Done)}, examiner.RowCounts{"i": 1}, examiner.RowCounts{"k": 1}, 0, 0, 0},
		{"insert lost", []examiner.Operation{insert(examiner.Done)}, nil, nil, 1, 0, 0},
		{"insert twice", []examiner.Operation{insert(examiner.Unknown)}, examiner.RowCounts{"i": 2}, nil, 0, 1, 0},
		{"insert not run stands", []examiner.Operation{insert(examiner.NotExecuted)}, examiner.RowCounts{"i": 1}, nil, 0, 0, 1},
		{"request lost", []examiner.Operation{insert(examiner.Unknown), keyed(examiner.Done)}, nil, nil, 1, 0, 0},
		{"request twice", []examiner.Operation{insert(examiner.Unknown), keyed(examiner.NotExecuted), keyed(examiner.Done)}, nil, examiner.RowCounts{"k": 2}, 0, 1, 0},
		{"request not run stands", []examiner.Operation{insert(examiner.Unknown), keyed(examiner.NotExecuted)}, nil, examiner.RowCounts{"k": 1}, 0, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := judgeRows(c.ops, c.submission, c.payment)
			if v.lost != c.lost || v.double != c.double || v.falseNotRun != c.untrue {
				t.Errorf("lost, double, false not run = %d, %d, %d, want %d, %d, %d",
					v.lost, v.double, v.falseNotRun, c.lost, c.double, c.untrue)
			}
		})
	}
}
