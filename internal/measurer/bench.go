package measurer

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"marigoldhub.example/hub/internal/deployer"
)

// Config describes a [Run].
type Config struct {
	// Bin is the folder that holds the programs.
	Bin string
	// Out is the report folder; empty writes none.
	Out string
	// Users are the plans that are measured, one after the other.
	Users []deployer.Plan
	// Keep leaves logs and rows of the installations in place.
	Keep bool
	// Only names the measurements to run; empty runs all.
	Only []string
	W    io.Writer
}

const (
	shareLength         = 2500 * time.Millisecond
	shareBaselineLength = 1500 * time.Millisecond
	failoverRounds      = 1
)

// run is one run of all measurements.
type run struct {
	cfg    Config
	dir    string
	sheet  *Sheet
	rounds map[string][]round
}

// Run measures every user and writes the report. The error tells which
// promises were broken.
func Run(ctx context.Context, cfg Config) error {
	dir, err := os.MkdirTemp("", "marigold-bench-")
	if err != nil {
		return err
	}
	if cfg.Keep {
		fmt.Fprintf(cfg.W, "# files are kept in %s\n", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	r := &run{cfg: cfg, dir: dir, sheet: NewSheet(cfg.W), rounds: map[string][]round{}}
	begin := time.Now()
	for _, plan := range cfg.Users {
		if err := r.user(ctx, plan); err != nil {
			return errors.Wrap(err, plan.Customer)
		}
	}
	fmt.Fprintf(cfg.W, "bench_seconds=%.0f\n", time.Since(begin).Seconds())
	return r.finish()
}

// step is one measurement in an installation.
type step struct {
	name string
	run  func(ctx context.Context, in installation, sheet sheetOf) error
}

func (r *run) isWanted(name string) bool {
	if len(r.cfg.Only) == 0 {
		return true
	}
	for _, n := range r.cfg.Only {
		if n == name {
			return true
		}
	}
	return false
}

func (r *run) user(ctx context.Context, plan deployer.Plan) error {
	sheet := sheetOf{Sheet: r.sheet, user: plan.Customer}
	product := []step{
		{"share", func(ctx context.Context, in installation, sheet sheetOf) error {
			return measureShare(ctx, in, sheet, "", shareLength)
		}},
		{"overload", measureOverload},
		{"hold", measureHold},
		{"change", measureChange},
		{"failover", func(ctx context.Context, in installation, sheet sheetOf) error {
			rounds, err := measureFailover(ctx, in, sheet, failoverRounds)
			r.rounds[plan.Customer] = rounds
			return err
		}},
	}
	if err := r.steps(ctx, plan, sheet, product); err != nil {
		return err
	}
	if err := r.overhead(ctx, plan, sheet); err != nil {
		return err
	}
	return r.baselines(ctx, plan, sheet)
}

func (r *run) overhead(ctx context.Context, plan deployer.Plan, sheet sheetOf) error {
	if !r.isWanted("overhead") {
		return nil
	}
	in, err := startLoopback(ctx, plan, r.cfg.Bin, r.dir)
	if err != nil {
		return err
	}
	defer in.Close()
	return measureOverhead(ctx, in, sheet)
}

// baselines measures the fixed timer beside the routing baselines, because
// the former mostly waits.
func (r *run) baselines(ctx context.Context, plan deployer.Plan, sheet sheetOf) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.routingBaselines(ctx, plan, sheet) })
	if r.isWanted("fixed_timer") {
		g.Go(func() error { return measureFixedTimer(ctx, plan, r.cfg.Bin, r.dir, sheet) })
	}
	return g.Wait()
}

func (r *run) routingBaselines(ctx context.Context, plan deployer.Plan, sheet sheetOf) error {
	for _, routing := range []string{"all_primary", "ignore_session"} {
		baseline := []step{{"share", func(ctx context.Context, in installation, sheet sheetOf) error {
			return measureShare(ctx, in, sheet, routing, shareBaselineLength)
		}}}
		if err := r.steps(ctx, plan.WithRouting(routing), sheet, baseline); err != nil {
			return err
		}
	}
	return nil
}

// steps runs the wanted measurements in one installation.
func (r *run) steps(ctx context.Context, plan deployer.Plan, sheet sheetOf, all []step) error {
	var wanted []step
	for _, s := range all {
		if r.isWanted(s.name) {
			wanted = append(wanted, s)
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	in, err := start(ctx, plan, r.cfg.Bin, r.dir)
	if err != nil {
		return err
	}
	defer in.Close()
	for _, s := range wanted {
		if err := s.run(ctx, in, sheet); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	return nil
}

// finish prints what missed its aim, writes the report, and returns an error
// when a promise was broken.
func (r *run) finish() error {
	broken := 0
	for _, f := range r.sheet.Figures() {
		if f.Missed() {
			fmt.Fprintf(r.cfg.W, "missed=%s value=%s aim=%s\n", f.Key, formatValue(f.Value), formatValue(f.Aim))
		}
		if f.Broken {
			broken++
		}
	}
	if r.cfg.Out != "" {
		if err := writeReport(r.cfg.Out, r.sheet, r.rounds, r.cfg.Users); err != nil {
			return err
		}
	}
	if broken > 0 {
		return errors.Errorf("%d figures show a broken promise", broken)
	}
	return nil
}
