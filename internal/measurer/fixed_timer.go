package measurer

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"

	"marigoldhub.example/hub/internal/deployer"
	"marigoldhub.example/hub/internal/examiner"
	"marigoldhub.example/hub/internal/loader"
)

const (
	fixedTimer      = 5 * time.Second
	timerProbe      = 100 * time.Millisecond
	timerProbeLimit = 300 * time.Millisecond
	timerWindow     = fixedTimer + 2500*time.Millisecond
	timerSettle     = 500 * time.Millisecond
)

// measureFixedTimer measures a baseline without entry instances: callers write
// to the servers themselves, without waiting for a replica, and a watcher
// promotes a replica when the primary did not answer for fixedTimer. The
// primary of the last group is cut off, those of the others are killed.
func measureFixedTimer(ctx context.Context, plan deployer.Plan, bin, dir string, sheet sheetOf) error {
	folder, err := os.MkdirTemp(dir, plan.Customer+"-timer")
	if err != nil {
		return err
	}
	d, err := deployer.Prepare(plan, bin, folder)
	if err != nil {
		return err
	}
	defer d.Close()
	in := installation{d}
	if err := d.StartPlatform(); err != nil {
		return err
	}
	if err := d.StartServers(); err != nil {
		return err
	}
	time.Sleep(timerSettle)
	gaps := newSample()
	var g errgroup.Group
	for i, group := range plan.Groups {
		ft := faults[0]
		if i == len(plan.Groups)-1 {
			ft = faults[1]
		}
		g.Go(func() error { return in.timerRound(ctx, group, ft, gaps) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	sheet.add("failover_gap_count_fixed_timer", gaps.count())
	sheet.add("failover_gap_ms_p50_fixed_timer", gaps.ms(50))
	sheet.add("failover_gap_ms_p99_fixed_timer", gaps.ms(99))
	sheet.add("failover_gap_ms_max_fixed_timer", gaps.ms(100))
	return nil
}

func (in installation) timerRound(ctx context.Context, group string, ft fault, gaps *sample) error {
	servers := in.ServersOf(group)
	if err := in.createTables(ctx, group, servers[0]); err != nil {
		return err
	}
	history, stop := in.startDirectWriters(ctx, group)
	defer stop()
	time.Sleep(2 * quietBefore)
	watched := make(chan error, 1)
	go func() { watched <- in.watchAndPromote(ctx, group, servers) }()
	at := history.Now()
	if _, err := ft.inject(in, servers[0]); err != nil {
		return err
	}
	time.Sleep(timerWindow)
	for _, gap := range gapsOf(history.Operations(), at, history.Now()).callerGaps {
		gaps.add(gap)
	}
	return <-watched
}

func (in installation) createTables(ctx context.Context, group string, s *deployer.Server) error {
	conn, err := connect(ctx, s.DirectAddress, group, "")
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	for _, sql := range loader.Schema {
		if _, err := conn.Exec(ctx, sql); err != nil {
			return errors.Wrap(err, "create tables")
		}
	}
	return nil
}

// startDirectWriters runs writers that look for the primary themselves.
func (in installation) startDirectWriters(ctx context.Context, group string) (*loader.History, func()) {
	ctx, cancel := context.WithCancel(ctx)
	var addresses []string
	for _, s := range in.ServersOf(group) {
		addresses = append(addresses, s.Address)
	}
	target := in.target(group, addresses...)
	target.ConnectTimeout = timerProbeLimit
	history := loader.NewHistory()
	var wg sync.WaitGroup
	for id := range writersPerGroup {
		c := loader.NewCaller(id+1, 1, target, history, timerProbeLimit)
		wg.Go(func() {
			defer c.Close()
			for n := 0; ctx.Err() == nil; n++ {
				if c.EnsureConnected(ctx) == nil {
					op, _ := c.Insert(context.WithoutCancel(ctx), fmt.Sprintf("timer-%d-%d", id, n))
					if op.Outcome != examiner.Done {
						c.SwitchInstance()
					}
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

// watchAndPromote probes the first server and promotes the second one when no
// probe succeeded for fixedTimer.
func (in installation) watchAndPromote(ctx context.Context, group string, servers []*deployer.Server) error {
	last := time.Now()
	for time.Since(last) < fixedTimer {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		begin := time.Now()
		if in.command(ctx, group, servers[0], "SELECT * FROM marigold_group_status()") == nil {
			last = begin
		}
		time.Sleep(timerProbe)
	}
	const fence = "SELECT * FROM marigold_group_fence(2, 'timer')"
	for _, step := range []struct {
		server *deployer.Server
		sql    string
	}{
		{servers[1], fence},
		{servers[2], fence},
		{servers[1], "SELECT * FROM marigold_group_promote(2, 'timer')"},
		{servers[2], fmt.Sprintf("SELECT * FROM marigold_group_follow(2, '%s', '%s')", servers[1].Name, servers[1].Address)},
	} {
		if err := in.command(ctx, group, step.server, step.sql); err != nil {
			return errors.Wrapf(err, "fixed timer: %s", step.sql)
		}
	}
	return nil
}

func (in installation) command(ctx context.Context, group string, s *deployer.Server, sql string) error {
	ctx, cancel := context.WithTimeout(ctx, timerProbeLimit)
	defer cancel()
	conn, err := connect(ctx, s.Address, group, in.ClientIP())
	if err != nil {
		return err
	}
	defer conn.Close(context.WithoutCancel(ctx))
	_, err = conn.Exec(ctx, sql, pgx.QueryExecModeSimpleProtocol)
	return err
}
