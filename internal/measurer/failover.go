package measurer

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"marigoldhub.example/hub/internal/deployer"
	"marigoldhub.example/hub/internal/examiner"
	"marigoldhub.example/hub/internal/loader"
	"marigoldhub.example/hub/standin/link"
)

const (
	writersPerGroup = 8
	writerPause     = 5 * time.Millisecond
	// faultWindow is the time of a fault that a round looks at.
	faultWindow   = 2500 * time.Millisecond
	settleLimit   = 15 * time.Second
	quietBefore   = 400 * time.Millisecond
	failoverAimMS = 2000
)

// fault is one way in which a primary fails.
type fault struct {
	name string
	// inject makes the primary fail and returns how to repair it.
	inject func(in installation, s *deployer.Server) (repair func() error, err error)
}

var faults = []fault{{"kill", killServer}, {"cut", cutServer}}

func killServer(_ installation, s *deployer.Server) (func() error, error) {
	s.Kill()
	return s.Restart, nil
}

// cutServer isolates a server in both directions. A rule with the same source
// and link replaces the cut later, because healing all rules would also end
// faults of other groups.
func cutServer(in installation, s *deployer.Server) (func() error, error) {
	rules := []link.Rule{
		{Link: deployer.SQLLink(s.Name)}, {Link: deployer.ReplicationLink(s.Name)}, {Source: s.IP},
	}
	set := func(on bool) error {
		for _, r := range rules {
			r.CutToTarget, r.CutToSource = on, on
			if err := in.Links.Set(r); err != nil {
				return err
			}
		}
		return nil
	}
	return func() error { return set(false) }, set(true)
}

// round is what the writers of one group saw of one fault.
type round struct {
	group, fault string
	storeUp      bool
	// groupGap is the time without any good write; callerGaps holds the time
	// without a good write of each writer.
	groupGap   time.Duration
	callerGaps []time.Duration
}

// failoverRun collects rounds of concurrent groups.
type failoverRun struct {
	in installation
	w  interface{ Write([]byte) (int, error) }

	mu     sync.Mutex
	rounds []round
	total  verdict
}

// measureFailover lets primaries of all groups fail, first with the store up,
// then with it down. Groups fail independently of each other.
func measureFailover(ctx context.Context, in installation, sheet sheetOf, rounds int) ([]round, error) {
	run := &failoverRun{in: in, w: sheet.w}
	for _, storeUp := range []bool{true, false} {
		if err := in.Platform.SetDown(!storeUp); err != nil {
			return nil, err
		}
		if err := run.allGroups(ctx, storeUp, rounds); err != nil {
			return nil, err
		}
	}
	if err := in.Platform.SetDown(false); err != nil {
		return nil, err
	}
	run.report(sheet)
	return run.rounds, nil
}

func (f *failoverRun) allGroups(ctx context.Context, storeUp bool, rounds int) error {
	if err := f.in.clear(ctx); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	for i, group := range f.in.Plan.Groups {
		g.Go(func() error {
			time.Sleep(time.Duration(i) * 700 * time.Millisecond)
			return f.oneGroup(ctx, group, storeUp, rounds)
		})
	}
	return g.Wait()
}

func (f *failoverRun) oneGroup(ctx context.Context, group string, storeUp bool, rounds int) error {
	history, stop := f.in.startWriters(ctx, group, fmt.Sprintf("%s-%v", group, storeUp))
	crowd := loader.StartWorkload(ctx, loader.WorkloadConfig{
		Callers: 4, Seed: 7, Target: f.in.target(group), OpTimeout: opTimeout,
		Mix: loader.Mix{CatalogueWrite: 2, CatalogueRead: 6, Pay: 2, MaxAge: f.in.Plan.MaxAge, Pause: 10 * time.Millisecond, SwitchShare: 0.03},
	})
	time.Sleep(quietBefore)
	var failed error
	for range rounds {
		for _, ft := range faults {
			if failed = f.oneRound(ctx, group, storeUp, ft, history); failed != nil {
				break
			}
		}
	}
	stop()
	crowd.Stop()
	if failed != nil {
		return failed
	}
	return f.judge(ctx, group, storeUp, history, crowd)
}

// judge judges writers and crowd apart, because their times and row keys
// differ. Rows of the crowd are named anew by each crowd, so only the crowd of
// the first phase is compared with them.
func (f *failoverRun) judge(ctx context.Context, group string, storeUp bool, history *loader.History, crowd *loader.Workload) error {
	ops := append(history.Operations(), crowd.History.Operations()...)
	if !storeUp {
		ops = append(history.Operations(), selectKinds(crowd.History.Operations(), examiner.Write, examiner.BoundedRead)...)
	}
	v, err := f.in.judge(ctx, group, ops)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.total.merge(v)
	return nil
}

func (f *failoverRun) oneRound(ctx context.Context, group string, storeUp bool, ft fault, history *loader.History) error {
	primary, _, err := f.in.primary(group)
	if err != nil {
		return err
	}
	at := history.Now()
	repair, err := ft.inject(f.in, primary)
	if err != nil {
		return err
	}
	time.Sleep(faultWindow)
	until := history.Now()
	if err := repair(); err != nil {
		return errors.Wrapf(err, "repair %s", primary.Name)
	}
	r := gapsOf(history.Operations(), at, until)
	r.group, r.fault, r.storeUp = group, ft.name, storeUp
	fmt.Fprintf(f.w, "# %s %s of %s, store up %v: gap %v\n", f.in.Plan.Customer, ft.name, primary.Name, storeUp, r.groupGap.Round(time.Millisecond))
	f.mu.Lock()
	f.rounds = append(f.rounds, r)
	f.mu.Unlock()
	return f.in.settle(ctx, group, settleLimit)
}

// startWriters runs writers that insert rows until stop is called, each through
// an entry instance of its own.
func (in installation) startWriters(ctx context.Context, group, prefix string) (*loader.History, func()) {
	ctx, cancel := context.WithCancel(ctx)
	history := loader.NewHistory()
	var wg sync.WaitGroup
	for id := range writersPerGroup {
		address := in.Entries[id%len(in.Entries)].Address
		c := loader.NewCaller(id+1, 1, in.target(group, address), history, opTimeout)
		wg.Go(func() {
			defer c.Close()
			for n := 0; ctx.Err() == nil; n++ {
				if c.EnsureConnected(ctx) == nil {
					_, _ = c.Insert(context.WithoutCancel(ctx), fmt.Sprintf("%s-%d-%d", prefix, id, n))
				}
				time.Sleep(writerPause)
			}
		})
	}
	return history, func() {
		cancel()
		wg.Wait()
	}
}

// gapsOf finds the longest time without a good write that ends after the
// fault, of all writers together and of each. A writer without a good write
// after the fault has a gap until the end of the window.
func gapsOf(history []examiner.Operation, at, until time.Duration) round {
	byCaller := map[int][]time.Duration{}
	var all []time.Duration
	for _, op := range history {
		if op.Outcome != examiner.Done || op.End < at-quietBefore || op.End > until {
			continue
		}
		all = append(all, op.End)
		byCaller[op.Caller] = append(byCaller[op.Caller], op.End)
	}
	r := round{groupGap: longestGap(all, at, until)}
	for id := 1; id <= writersPerGroup; id++ {
		r.callerGaps = append(r.callerGaps, longestGap(byCaller[id], at, until))
	}
	return r
}

func longestGap(ends []time.Duration, at, until time.Duration) time.Duration {
	sort.Slice(ends, func(i, j int) bool { return ends[i] < ends[j] })
	last := at - quietBefore
	var longest time.Duration
	for _, end := range append(ends, until) {
		if end > at {
			longest = max(longest, end-last)
		}
		last = end
	}
	return longest
}

func (f *failoverRun) report(sheet sheetOf) {
	group, caller := newSample(), newSample()
	byCase := map[string]*sample{}
	for _, r := range f.rounds {
		group.add(r.groupGap)
		name := r.fault + "_store_down"
		if r.storeUp {
			name = r.fault + "_store_up"
		}
		if byCase[name] == nil {
			byCase[name] = newSample()
		}
		for _, gap := range r.callerGaps {
			caller.add(gap)
			byCase[name].add(gap)
		}
	}
	sheet.add("failover_rounds", group.count())
	sheet.add("failover_gap_count", caller.count())
	sheet.add("failover_gap_ms_p50", caller.ms(50))
	sheet.atMost("failover_gap_ms_p99", caller.ms(99), failoverAimMS)
	sheet.add("failover_gap_ms_max", caller.ms(100))
	sheet.add("failover_group_gap_ms_p50", group.ms(50))
	sheet.add("failover_group_gap_ms_max", group.ms(100))
	for _, name := range []string{"kill_store_up", "kill_store_down", "cut_store_up", "cut_store_down"} {
		if s := byCase[name]; s != nil {
			sheet.add("failover_gap_ms_p50_"+name, s.ms(50))
			sheet.add("failover_gap_ms_max_"+name, s.ms(100))
		}
	}
	sheet.add("judged_operations", float64(f.total.judged))
	sheet.promise("lost_writes", float64(f.total.lost), 0)
	sheet.promise("double_runs", float64(f.total.double), 0)
	sheet.promise("false_not_run", float64(f.total.falseNotRun), 0)
	sheet.promise("stale_reads", float64(f.total.staleRead), 0)
	f.total.print(sheet.w, sheet.user)
}
