package experimenter

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/deployer"
	"marigoldhub.example/hub/internal/examiner"
	"marigoldhub.example/hub/internal/injector"
	"marigoldhub.example/hub/internal/loader"
)

// Verdict is the result of one cell of the matrix.
type Verdict string

const (
	Held   Verdict = "held"
	Failed Verdict = "failed"
	NotRun Verdict = "not run"
)

// Cell is one fault at one step.
type Cell struct {
	Fault injector.Fault
	Step  injector.Step
	Seed  uint64
}

// Name is the name of the cell in tables and in KNOWN-RED.txt.
func (c Cell) Name() string { return c.Fault.Name + "@" + c.Step.Name }

// CellResult is what a cell showed.
type CellResult struct {
	Cell       Cell
	Verdict    Verdict
	Violations []examiner.Violation
	Err        error
	// Operations counts operations by outcome.
	Operations map[examiner.Outcome]int
	// Elapsed is the time that the cell took.
	Elapsed time.Duration
}

const (
	cellGroup    = "booking"
	cellEntries  = 4
	cellCallers  = 10
	cellReaders  = 3
	cellMaxAge   = 2 * time.Second
	cellWarmUp   = 700 * time.Millisecond
	cellCoolDown = 500 * time.Millisecond
	cellLimit    = 75 * time.Second
	// cellOpTimeout is above the 14 s that a change of primary may take.
	cellOpTimeout = 16 * time.Second
)

// runCell runs one cell in an installation of its own.
func runCell(ctx context.Context, cell Cell, bin, keep string, keepHeld bool) CellResult {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, cellLimit)
	defer cancel()
	result := CellResult{Cell: cell, Operations: map[examiner.Outcome]int{}}
	dir, err := os.MkdirTemp(keep, "cell-")
	if err != nil {
		result.Verdict, result.Err = NotRun, err
		return result
	}
	result.run(ctx, bin, dir)
	result.Elapsed = time.Since(begin)
	if result.Verdict == Held && !keepHeld {
		_ = os.RemoveAll(dir)
	} else if result.Verdict != Held {
		result.Err = errors.Wrapf(result.Err, "logs are in %s", dir)
	}
	return result
}

func (r *CellResult) run(ctx context.Context, bin, dir string) {
	plan := deployer.Council().WithGroups(cellGroup).WithEntries(cellEntries).WithMaxAge(cellMaxAge)
	d, err := deployer.Start(ctx, plan, bin, dir)
	if err != nil {
		r.Verdict, r.Err = NotRun, err
		return
	}
	defer d.Close()
	scene := &injector.Scene{D: d, Group: cellGroup, Probe: d.Entries[int(r.Cell.Seed)%cellEntries], Seed: r.Cell.Seed}
	history, reached, err := r.drive(ctx, scene)
	if !reached || errors.Is(err, injector.ErrNoTarget) {
		r.Verdict, r.Err = NotRun, err
		return
	}
	for _, op := range history {
		r.Operations[op.Outcome]++
	}
	if err != nil {
		r.Verdict, r.Err = Failed, err
		return
	}
	r.judge(ctx, scene, history)
	writeEvidence(dir, scene, history, r.Violations)
}

// drive runs the load, the fault and the recovery. reached tells whether the
// step was reached and the fault injected.
func (r *CellResult) drive(ctx context.Context, s *injector.Scene) (history []examiner.Operation, reached bool, err error) {
	target := callerTarget(s.D, s.Group)
	migrator := loader.NewCaller(0, r.Cell.Seed, target, loader.NewHistory(), cellOpTimeout)
	if err := migrator.CreateTables(ctx); err != nil {
		return nil, false, err
	}
	migrator.Close()
	crowd := loader.StartWorkload(ctx, loader.WorkloadConfig{
		Callers: cellCallers, Seed: r.Cell.Seed, Target: target, Mix: loader.FullMix(cellMaxAge), OpTimeout: cellOpTimeout,
	})
	readers := loader.StartWorkload(ctx, loader.WorkloadConfig{
		Callers: cellReaders, FirstID: 1 + cellCallers, Keys: cellCallers, History: crowd.History,
		Seed: r.Cell.Seed, Target: target, Mix: loader.ReadOnlyMix(cellMaxAge), OpTimeout: cellOpTimeout,
	})
	s.History = crowd.History
	time.Sleep(cellWarmUp)
	err = r.Cell.Step.Run(ctx, s, func() error {
		reached = true
		return r.Cell.Fault.Inject(ctx, s)
	})
	if err == nil {
		time.Sleep(r.Cell.Fault.Hold)
	}
	if err == nil && r.Cell.Fault.Verify != nil {
		err = r.Cell.Fault.Verify(s)
	}
	err = errors.Join(err, s.Heal())
	if err == nil {
		err = s.Recover(ctx)
	}
	time.Sleep(cellCoolDown)
	s.Wait()
	readers.Stop()
	return crowd.Stop(), reached, err
}

// judge checks the history against every promise.
func (r *CellResult) judge(ctx context.Context, s *injector.Scene, history []examiner.Operation) {
	if err := s.WaitSettled(ctx); err != nil {
		r.Verdict, r.Err = Failed, err
		return
	}
	final, err := readFinalRows(ctx, s)
	if err != nil {
		r.Verdict, r.Err = Failed, err
		return
	}
	r.Violations = append(r.Violations, checkHistory(history, final)...)
	r.Violations = append(r.Violations, checkInstallation(s)...)
	r.Violations = append(r.Violations, s.Violations()...)
	if r.Cell.Fault.Planned && r.Cell.Step.Harmless {
		r.Violations = append(r.Violations, examiner.CheckNoUnknownOutcomes(history)...)
	}
	r.Verdict = Held
	if len(r.Violations) > 0 {
		r.Verdict = Failed
	}
}

// checkHistory applies every checker.
func checkHistory(history []examiner.Operation, final finalRows) []examiner.Violation {
	var found []examiner.Violation
	found = append(found, examiner.CheckLinearizability(history)...)
	found = append(found, examiner.CheckReadYourWrites(ownKeys(history))...)
	found = append(found, examiner.CheckMaxAge(history)...)
	found = append(found, examiner.CheckEchoAnswers(history)...)
	found = append(found, examiner.CheckDurability(history, final.submissions)...)
	found = append(found, examiner.CheckNotExecuted(history, final.submissions)...)
	found = append(found, examiner.CheckAtomicity(history, final.pairs)...)
	found = append(found, examiner.CheckAtMostOnce(history, final.payments)...)
	return found
}

// ownKeys leaves out the shared registers: each other key has one writer.
func ownKeys(history []examiner.Operation) []examiner.Operation {
	var own []examiner.Operation
	for _, op := range history {
		if op.Kind == examiner.BoundedRead || op.Kind == examiner.Write && op.Key[:3] == "own" {
			own = append(own, op)
		}
	}
	return own
}

// checkInstallation checks what the processes themselves show: connection
// limits, and one revision in force everywhere that did not revert.
func checkInstallation(s *injector.Scene) []examiner.Violation {
	var found []examiner.Violation
	for _, server := range s.D.Servers {
		state, err := server.State()
		if err == nil && state.Peak > s.D.Plan.ConnectionLimit {
			found = append(found, examiner.Violation{
				Rule: "connection_limit", Detail: fmt.Sprintf("%s had %d connections, the limit is %d", server.Name, state.Peak, s.D.Plan.ConnectionLimit),
			})
		}
	}
	return append(found, checkRevisions(s)...)
}

// revisionWait is the time within which a revision is in force everywhere.
const revisionWait = 5 * time.Second

func checkRevisions(s *injector.Scene) []examiner.Violation {
	var last error
	deadline := time.Now().Add(revisionWait)
	for time.Now().Before(deadline) {
		if last = haveSameRevision(s); last == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return []examiner.Violation{{Rule: "in_force_everywhere", Detail: last.Error()}}
}

// haveSameRevision checks that all instances serve by one revision that is at
// least as new as the accepted changes.
func haveSameRevision(s *injector.Scene) error {
	least := uint64(1 + s.Changes.Accepted())
	revisions := map[string]string{}
	for _, e := range s.D.Entries {
		status, err := e.Status()
		if err != nil {
			return err
		}
		for _, p := range status.Parts {
			if p.Part != s.D.Plan.Customer {
				continue
			}
			if p.Revision < least {
				return errors.Errorf("%s serves by revision %d, %d was accepted", e.Name, p.Revision, least)
			}
			revisions[p.Hash] = e.Name
		}
	}
	if len(revisions) != 1 {
		return errors.Errorf("instances serve by %d different revisions: %v", len(revisions), revisions)
	}
	return nil
}

// writeEvidence keeps what explains the verdict.
func writeEvidence(dir string, s *injector.Scene, history []examiner.Operation, found []examiner.Violation) {
	_ = writeJSONFile(filepath.Join(dir, "history.json"), history)
	_ = writeJSONFile(filepath.Join(dir, "violations.json"), found)
	if events, err := timeline(s.D); err == nil {
		_ = writeJSONFile(filepath.Join(dir, "timeline.json"), events)
	}
}
