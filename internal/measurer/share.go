package measurer

import (
	"context"
	"fmt"
	"io"
	"math"
	"sort"
	"time"

	"marigoldhub.example/hub/internal/examiner"
	"marigoldhub.example/hub/internal/loader"
)

const (
	shareCallers = 8
	// shareWarmUp lets every session attach and write before replicas fall
	// behind, so that its floor at attach is known to the replicas.
	shareWarmUp = 500 * time.Millisecond
	// humanPause is the pause of callers that a person drives. With BrowseMix's
	// own pause a session writes about four times a second, and the floor that
	// its writes set allows a share of about 0.8 with replicas 50 ms behind.
	humanPause = 250 * time.Millisecond
	shareAim   = 0.95
)

// lagCase is how far replicas are behind.
type lagCase struct {
	name string
	lag  time.Duration
	mix  func(time.Duration) loader.Mix
}

var lagCases = []lagCase{
	{"50ms", 50 * time.Millisecond, loader.BrowseMix},
	{"50ms_human_pace", 50 * time.Millisecond, humanMix},
	{"1s", time.Second, loader.BrowseMix},
	{"60s", time.Minute, loader.BrowseMix},
}

func humanMix(maxAge time.Duration) loader.Mix {
	m := loader.BrowseMix(maxAge)
	m.Pause = humanPause
	return m
}

// shareResult is the outcome of one case.
type shareResult struct {
	// bounded, replica and rejected count bounded reads, those that a replica
	// served, and attempts at a replica that did not prove the floor.
	bounded, replica, rejected float64
	stale                      int
	floorReads                 int
	floorServed                int
	details                    []examiner.Violation
}

// floor is the share that would result if each session's floor were its
// position at attach, see [attachFloor].
func (r shareResult) floor() float64 { return ratio(float64(r.floorServed), float64(r.floorReads)) }

// measureShare browses all groups with replicas that are behind. Routing is
// the name of the policy that the installation runs with.
func measureShare(ctx context.Context, in installation, sheet sheetOf, routing string, length time.Duration) error {
	stale := 0
	for _, c := range lagCases {
		r, err := runShare(ctx, in, sheet, c, length)
		if err != nil {
			return err
		}
		stale += r.stale
		name := "replica_read_share_" + c.name
		switch {
		case routing != "":
			sheet.add(name+"_"+routing, ratio(r.replica, r.bounded))
		case c.lag == 50*time.Millisecond:
			sheet.atLeast(name, ratio(r.replica, r.bounded), shareAim)
		case c.lag == time.Minute:
			sheet.atLeast(name, ratio(r.replica, r.bounded), r.floor())
		default:
			sheet.add(name, ratio(r.replica, r.bounded))
		}
		if routing == "" {
			sheet.add(name+"_floor", r.floor())
			sheet.add(name+"_rejected", ratio(r.rejected, r.bounded))
		}
		for i, v := range r.details {
			if routing == "" && i < 3 {
				fmt.Fprintf(sheet.w, "# %s stale read: %s\n", sheet.user, v)
			}
		}
	}
	if routing != "" {
		sheet.add("stale_reads_"+routing, float64(stale))
		return in.setLag(in.Plan.ApplyDelay)
	}
	sheet.promise("stale_reads_share", float64(stale), 0)
	return in.setLag(in.Plan.ApplyDelay)
}

func runShare(ctx context.Context, in installation, sheet sheetOf, c lagCase, length time.Duration) (shareResult, error) {
	var r shareResult
	if err := in.clear(ctx); err != nil {
		return r, err
	}
	var crowds []*loader.Workload
	for i, group := range in.Plan.Groups {
		crowds = append(crowds, loader.StartWorkload(ctx, loader.WorkloadConfig{
			Callers: shareCallers, Seed: uint64(i + 1), Target: in.target(group), Mix: c.mix(in.Plan.MaxAge), OpTimeout: opTimeout,
		}))
	}
	time.Sleep(shareWarmUp)
	// The counters are read before the lag changes: the reads just after it
	// are the ones that a replica can still serve.
	begin := make([]time.Duration, len(crowds))
	for i, crowd := range crowds {
		begin[i] = crowd.History.Now()
	}
	before, err := in.readCounters()
	if err != nil {
		return r, err
	}
	if err := in.setLag(c.lag); err != nil {
		return r, err
	}
	time.Sleep(length)
	after, err := in.readCounters()
	if err != nil {
		return r, err
	}
	r.bounded, r.replica, r.rejected = after[0]-before[0], after[1]-before[1], after[2]-before[2]
	for i, crowd := range crowds {
		history := crowd.Stop()
		printOutcomes(sheet.w, in.Plan.Customer+" "+c.name+" "+in.Plan.Groups[i], history)
		r.details = append(r.details, examiner.CheckReadYourWrites(history)...)
		r.details = append(r.details, examiner.CheckMaxAge(history)...)
		reads, served := attachFloor(history, begin[i], begin[i]+length, c.lag, in.Plan.ApplyDelay)
		r.floorReads += reads
		r.floorServed += served
	}
	r.stale = len(r.details)
	return r, nil
}

// printOutcomes prints how often the operations of a history had each outcome.
func printOutcomes(w io.Writer, what string, history []examiner.Operation) {
	counts := map[string]int{}
	slowest := map[string]time.Duration{}
	for _, op := range history {
		k := string(op.Kind) + "_" + string(op.Outcome)
		counts[k]++
		slowest[k] = max(slowest[k], op.End-op.Start)
	}
	fmt.Fprintf(w, "# %s: %v slowest %v\n", what, counts, slowest)
}

// readCounters returns the bounded reads, those that a replica served, and the
// rejected attempts.
func (in installation) readCounters() ([3]float64, error) {
	var values [3]float64
	for i, name := range []string{"relayer.bounded_reads", "relayer.replica_reads", "relayer.replica_reads_rejected"} {
		var err error
		if values[i], err = in.counter(name); err != nil {
			return values, err
		}
	}
	return values, nil
}

// attachFloor counts the bounded reads in a time span, and those that a
// replica could serve if each session's floor were its position at attach,
// raised by its own acknowledged writes. All sessions attach before since. A
// replica has what was written more than lag ago, and what it had applied when
// the lag was set at since.
func attachFloor(history []examiner.Operation, since, until, lag, lagBefore time.Duration) (reads, served int) {
	sort.SliceStable(history, func(i, j int) bool { return history[i].Start < history[j].Start })
	floor := map[int]time.Duration{}
	for _, op := range history {
		if _, attached := floor[op.Session]; !attached {
			floor[op.Session] = op.Start
		}
		switch {
		case op.Kind == examiner.Write && op.Outcome != examiner.NotExecuted:
			floor[op.Session] = op.End
		case op.Kind == examiner.BoundedRead && op.Start >= since && op.Start < until:
			reads++
			if floor[op.Session] <= max(since-lagBefore, op.Start-lag) {
				served++
			}
		}
	}
	return reads, served
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return math.NaN()
	}
	return part / whole
}
