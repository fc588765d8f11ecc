package measurer

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"

	"marigoldhub.example/hub/internal/deployer"
)

const (
	overheadStatements = 400
	throughputCallers  = 8
	throughputLength   = 800 * time.Millisecond
	overheadAimUS      = 200
)

// statement is one kind of statement whose cost is measured.
type statement struct {
	name string
	sql  string
	// replica is set when a replica serves it.
	replica bool
}

var statements = []statement{
	{"strict_read", `SELECT value FROM register WHERE key = 'k'`, false},
	{"bounded_read", `SELECT value FROM catalogue WHERE key = 'k'`, true},
	{"write", `INSERT INTO submission (key) VALUES ('overhead')`, false},
}

// startLoopback runs one instance and one group without delays. The manifest
// names the servers' own addresses, so that no traffic passes standin-link.
func startLoopback(ctx context.Context, plan deployer.Plan, bin, dir string) (installation, error) {
	plan = plan.WithEntries(1).WithGroups(plan.Groups[0]).WithApplyDelay(0)
	plan.ZoneDelay, plan.ClientDelay, plan.OpenDelay = 0, 0, 0
	folder, err := os.MkdirTemp(dir, plan.Customer+"-loopback")
	if err != nil {
		return installation{}, err
	}
	d, err := deployer.Prepare(plan, bin, folder)
	if err != nil {
		return installation{}, err
	}
	in := installation{d}
	if err := in.runLoopback(ctx); err != nil {
		d.Close()
		return in, errors.Wrap(err, "start without delays")
	}
	return in, nil
}

func (in installation) runLoopback(ctx context.Context) error {
	if err := in.StartPlatform(); err != nil {
		return err
	}
	if err := in.StartServers(); err != nil {
		return err
	}
	if err := in.PublishOwners(ctx); err != nil {
		return err
	}
	m := in.Manifest()
	for i, s := range in.ServersOf(in.Plan.Groups[0]) {
		m.Groups[0].Servers[i].Address = s.DirectAddress
	}
	if _, err := in.Publish(ctx, m); err != nil {
		return err
	}
	if err := in.StartEntries(); err != nil {
		return err
	}
	return in.migrate(ctx)
}

// measureOverhead compares statements through one instance with the same
// statements on a direct connection to the server that serves them.
func measureOverhead(ctx context.Context, in installation, sheet sheetOf) error {
	for _, st := range statements {
		if err := in.measureAdded(ctx, sheet, st); err != nil {
			return errors.Wrap(err, st.name)
		}
	}
	for _, st := range statements {
		perCore, err := in.measureThroughput(ctx, st)
		if err != nil {
			return errors.Wrap(err, st.name)
		}
		sheet.add("statements_per_core_s_"+st.name, perCore)
	}
	return nil
}

func (in installation) measureAdded(ctx context.Context, sheet sheetOf, st statement) error {
	group := in.Plan.Groups[0]
	server, _, err := in.primary(group)
	if err != nil {
		return err
	}
	if st.replica {
		server = in.anyReplica(group, server)
	}
	through, err := connect(ctx, in.Entries[0].DirectAddress, group, "")
	if err != nil {
		return err
	}
	defer through.Close(ctx)
	direct, err := connect(ctx, server.DirectAddress, group, "")
	if err != nil {
		return err
	}
	defer direct.Close(ctx)
	before, err := in.readCounters()
	if err != nil {
		return err
	}
	directTimes, throughTimes, added, err := pairUp(ctx, direct, through, st.sql, overheadStatements, 0)
	if err != nil {
		return err
	}
	sheet.add("direct_us_p50_"+st.name, directTimes.us(50))
	sheet.add("through_us_p50_"+st.name, throughTimes.us(50))
	sheet.atMost("proxy_added_us_p50_"+st.name, added.us(50), overheadAimUS)
	sheet.add("proxy_added_us_p99_"+st.name, added.us(99))
	if st.replica {
		after, err := in.readCounters()
		if err != nil {
			return err
		}
		sheet.add("loopback_replica_read_share", ratio(after[1]-before[1], after[0]-before[0]))
	}
	return nil
}

func (in installation) anyReplica(group string, primary *deployer.Server) *deployer.Server {
	for _, s := range in.ServersOf(group) {
		if s != primary {
			return s
		}
	}
	return primary
}

// pairUp runs a statement n times on both connections in turn. Added holds the
// differences within a pair, less extra, so that a busy moment of the machine
// falls on both sides.
func pairUp(ctx context.Context, direct, through *pgx.Conn, sql string, n int, extra time.Duration) (directTimes, throughTimes, added *sample, err error) {
	directTimes, throughTimes, added = newSample(), newSample(), newSample()
	for i := range n + n/10 {
		d, err := timeStatement(ctx, direct, sql)
		if err != nil {
			return nil, nil, nil, err
		}
		t, err := timeStatement(ctx, through, sql)
		if err != nil {
			return nil, nil, nil, err
		}
		if i < n/10 {
			continue // The first statements prepare and open connections.
		}
		directTimes.add(d)
		throughTimes.add(t)
		added.add(t - d - extra)
	}
	return directTimes, throughTimes, added, nil
}

func timeStatement(ctx context.Context, conn *pgx.Conn, sql string) (time.Duration, error) {
	begin := time.Now()
	_, err := conn.Exec(ctx, sql)
	return time.Since(begin), err
}

// measureThroughput returns the statements per second of processor time that
// the instance used.
func (in installation) measureThroughput(ctx context.Context, st statement) (float64, error) {
	entry := in.Entries[0]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var count atomic.Int64
	var failed atomic.Pointer[error]
	var ready, wg sync.WaitGroup
	ready.Add(throughputCallers)
	for range throughputCallers {
		wg.Go(func() {
			conn, err := connect(ctx, entry.DirectAddress, in.Plan.Groups[0], "")
			ready.Done()
			if err != nil {
				failed.Store(&err)
				return
			}
			defer conn.Close(context.WithoutCancel(ctx))
			for ctx.Err() == nil {
				if _, err := conn.Exec(context.WithoutCancel(ctx), st.sql); err != nil {
					err = fmt.Errorf("under load: %w", err)
					failed.Store(&err)
					return
				}
				count.Add(1)
			}
		})
	}
	ready.Wait()
	before, err := processorTime(entry.PID())
	if err != nil {
		return 0, err
	}
	first := count.Load()
	time.Sleep(throughputLength)
	n := count.Load() - first
	after, err := processorTime(entry.PID())
	cancel()
	wg.Wait()
	if err == nil && failed.Load() != nil {
		err = *failed.Load()
	}
	return ratio(float64(n), (after - before).Seconds()), err
}
