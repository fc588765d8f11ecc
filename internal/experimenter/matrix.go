package experimenter

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/examiner"
	"marigoldhub.example/hub/internal/injector"
)

// matrixOptions select the cells of a run.
type matrixOptions struct {
	bin      string
	knownRed string
	short    bool
	seed     uint64
	parallel int
	only     string
	repeat   int
	keep     string
	keepHeld bool
}

func newMatrixCmd() *cobra.Command {
	var o matrixOptions
	cmd := &cobra.Command{
		Use:   "matrix",
		Short: "Run every fault at every step and check the histories of concurrent callers",
		Long: "matrix runs each cell in an installation of its own, checks the callers' histories against every promise,\n" +
			"and prints a table with a verdict and a seed for every cell. It ends with a non-zero exit code when a cell\n" +
			"failed that KNOWN-RED.txt does not name.",
		Example: "  marigold-bench matrix --only cut_primary@commit_sent --repeat 5",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runMatrix(cmd.Context(), cmd.OutOrStdout(), o)
		},
	}
	addBinFlag(cmd, &o.bin)
	f := cmd.Flags()
	f.StringVar(&o.knownRed, "known-red", "KNOWN-RED.txt", "file that names cells known to fail")
	f.BoolVar(&o.short, "short", false, "run only the fixed part that CI runs")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the first cell; further cells count up")
	f.IntVar(&o.parallel, "parallel", 3, "installations that run at the same time")
	f.StringVar(&o.only, "only", "", "cells to run, as FAULT@STEP; either side may be empty")
	f.IntVar(&o.repeat, "repeat", 1, "runs of each cell, with different seeds")
	f.StringVar(&o.keep, "keep", "", "folder for the logs of failed cells; empty means the system's folder for temporary files")
	f.BoolVar(&o.keepHeld, "keep-held", false, "keep logs and histories of held cells too")
	return cmd
}

// shortCells are the cells that CI runs.
var shortCells = []string{
	"kill_primary@commit_unconfirmed", "cut_primary@commit_sent", "kill_entry@open_transaction",
	"freeze_monitor_past_lease@statement_sent", "store_down@promotion_fenced", "store_loses_answers@manifest_approved_once",
}

func runMatrix(ctx context.Context, w io.Writer, o matrixOptions) error {
	known, err := readKnownRed(o.knownRed)
	if err != nil {
		return err
	}
	cells := selectCells(o)
	if len(cells) == 0 {
		return errors.Errorf("no cell matches %q", o.only)
	}
	results := runCells(ctx, w, cells, o)
	printTable(w, results)
	return summarize(w, results, known)
}

func selectCells(o matrixOptions) []Cell {
	var cells []Cell
	seed := o.seed
	for _, fault := range injector.Faults() {
		for _, step := range injector.Steps() {
			c := Cell{Fault: fault, Step: step}
			if !isSelected(c, o) {
				continue
			}
			for range o.repeat {
				c.Seed = seed
				seed++
				cells = append(cells, c)
			}
		}
	}
	return cells
}

func isSelected(c Cell, o matrixOptions) bool {
	if o.short {
		return slices.Contains(shortCells, c.Name())
	}
	fault, step, _ := strings.Cut(o.only, "@")
	return (fault == "" || fault == c.Fault.Name) && (step == "" || step == c.Step.Name)
}

func runCells(ctx context.Context, w io.Writer, cells []Cell, o matrixOptions) []CellResult {
	results := make([]CellResult, len(cells))
	slots := make(chan struct{}, o.parallel)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n, cell := range cells {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r := CellResult{Cell: cell, Verdict: NotRun, Err: ctx.Err()}
			if ctx.Err() == nil {
				r = runCell(ctx, cell, o.bin, o.keep, o.keepHeld)
			}
			mu.Lock()
			defer mu.Unlock()
			results[n] = r
			printResult(w, r)
		})
	}
	wg.Wait()
	return results
}

func printResult(w io.Writer, r CellResult) {
	fmt.Fprintf(w, "%-8s %-60s seed=%-4d done=%d not_run=%d unknown=%d elapsed=%.1fs\n", r.Verdict, r.Cell.Name(), r.Cell.Seed,
		r.Operations[examiner.Done], r.Operations[examiner.NotExecuted], r.Operations[examiner.Unknown], r.Elapsed.Seconds())
	if r.Err != nil {
		fmt.Fprintf(w, "         %v\n", r.Err)
	}
	for n, v := range r.Violations {
		if n == 5 {
			fmt.Fprintf(w, "         and %d more\n", len(r.Violations)-n)
			break
		}
		fmt.Fprintf(w, "         %v\n", v)
	}
}

// printTable prints one row per fault and one column per step.
func printTable(w io.Writer, results []CellResult) {
	marks := map[Verdict]string{Held: "held", Failed: "FAIL", NotRun: "-"}
	byName := map[string]string{}
	for _, r := range results {
		name := r.Cell.Name()
		if byName[name] != marks[Failed] {
			byName[name] = marks[r.Verdict]
		}
	}
	fmt.Fprintf(w, "\nsteps:\n")
	for n, step := range injector.Steps() {
		fmt.Fprintf(w, "  %2d %s\n", n+1, step.Name)
	}
	fmt.Fprintf(w, "%-28s", "fault")
	for n := range injector.Steps() {
		fmt.Fprintf(w, " %4d", n+1)
	}
	fmt.Fprintln(w)
	for _, fault := range injector.Faults() {
		fmt.Fprintf(w, "%-28s", fault.Name)
		for _, step := range injector.Steps() {
			mark, ok := byName[fault.Name+"@"+step.Name]
			if !ok {
				mark = "."
			}
			fmt.Fprintf(w, " %4s", mark)
		}
		fmt.Fprintln(w)
	}
}

// summarize prints the closing line and returns an error when a cell failed
// that is not known to fail.
func summarize(w io.Writer, results []CellResult, known map[string]bool) error {
	count := map[Verdict]int{}
	var unexpected []string
	for _, r := range results {
		count[r.Verdict]++
		if r.Verdict != Failed {
			continue
		}
		if known[r.Cell.Name()] {
			fmt.Fprintf(w, "known red: %s seed=%d\n", r.Cell.Name(), r.Cell.Seed)
			continue
		}
		unexpected = append(unexpected, fmt.Sprintf("%s seed=%d", r.Cell.Name(), r.Cell.Seed))
	}
	fmt.Fprintf(w, "matrix: %d cells, %d held, %d failed, %d not run\n", len(results), count[Held], count[Failed], count[NotRun])
	if len(unexpected) > 0 {
		return errors.Errorf("cells failed: %s", strings.Join(unexpected, ", "))
	}
	if count[Held] == 0 {
		return errors.New("no cell held")
	}
	return nil
}
