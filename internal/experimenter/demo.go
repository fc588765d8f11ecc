package experimenter

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/deployer"
	"marigoldhub.example/hub/internal/examiner"
	"marigoldhub.example/hub/internal/loader"
	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/tracker"
)

// demoLimit bounds the whole demonstration.
const demoLimit = 55 * time.Second

func newDemoCmd() *cobra.Command {
	var bin string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Show the whole path: manifest, write, read, failure of the primary",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			dir, err := os.MkdirTemp("", "marigold-demo-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			ctx, cancel := context.WithTimeout(cmd.Context(), demoLimit)
			defer cancel()
			if err := (&demo{w: cmd.OutOrStdout()}).run(ctx, bin, dir); err != nil {
				return errors.Wrap(err, "demo failed")
			}
			cmd.Println("demo: ok")
			return nil
		},
	}
	addBinFlag(cmd, &bin)
	return cmd
}

// demo is one run of the demonstration. Every step checks what it shows.
type demo struct {
	w      io.Writer
	d      *deployer.Deployment
	caller *loader.Caller
	group  string
}

func (m *demo) say(format string, args ...any) { fmt.Fprintf(m.w, format+"\n", args...) }

func (m *demo) run(ctx context.Context, bin, dir string) error {
	m.group = "booking"
	plan := deployer.Council().WithGroups(m.group).WithEntries(3)
	d, err := deployer.Prepare(plan, bin, dir)
	if err != nil {
		return err
	}
	m.d = d
	defer d.Close()
	steps := []func(context.Context) error{
		m.startStandIns, m.approveManifest, m.connect, m.writeAndRead, m.move, m.killPrimary, m.showTimeline,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	m.caller.Close()
	return nil
}

func (m *demo) startStandIns(context.Context) error {
	m.say("1. Starting the store stand-in and one database group %q of three backend servers in three availability zones.", m.group)
	if err := m.d.StartPlatform(); err != nil {
		return err
	}
	return m.d.StartServers()
}

func (m *demo) approveManifest(ctx context.Context) error {
	m.say("2. Starting three entry instances. Without a manifest that both co-owners signed they serve nothing.")
	if err := m.d.LaunchEntries(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	for _, e := range m.d.Entries {
		if e.CheckReady() == nil {
			return errors.Errorf("%s is ready without a manifest", e.Name)
		}
	}
	if err := m.d.PublishOwners(ctx); err != nil {
		return err
	}
	if _, err := m.d.Publish(ctx, m.d.Manifest()); err != nil {
		return err
	}
	begin := time.Now()
	if err := m.d.WaitEntries(); err != nil {
		return err
	}
	m.say("   Both co-owners approved; all instances serve after %v.", time.Since(begin).Round(time.Millisecond))
	return nil
}

func (m *demo) connect(ctx context.Context) error {
	m.caller = loader.NewCaller(1, 1, callerTarget(m.d, m.group), loader.NewHistory(), 10*time.Second)
	if err := m.caller.EnsureConnected(ctx); err != nil {
		return err
	}
	if err := m.caller.CreateTables(ctx); err != nil {
		return errors.Wrap(err, "create tables")
	}
	m.say("3. An ordinary PostgreSQL client (pgx) connected through %s and created its tables.", m.caller.Address())
	return nil
}

func (m *demo) writeAndRead(ctx context.Context) error {
	if _, err := m.caller.Write(ctx, loader.Catalogue, "pitch-7", 1); err != nil {
		return errors.Wrap(err, "write")
	}
	op, err := m.caller.Read(ctx, loader.Catalogue, "pitch-7", m.d.Plan.MaxAge)
	if err != nil || op.Got != 1 {
		return errors.Errorf("own write not read back: got %d, %v", op.Got, err)
	}
	m.say("4. A write went to the primary, was confirmed by a replica, and the next read showed it.")
	time.Sleep(3 * m.d.Plan.ApplyDelay)
	before, err := replicaReads(m.d)
	if err != nil {
		return err
	}
	for range 10 {
		if op, err := m.caller.Read(ctx, loader.Catalogue, "pitch-7", m.d.Plan.MaxAge); err != nil || op.Got != 1 {
			return errors.Errorf("read: got %d, %v", op.Got, err)
		}
	}
	after, err := replicaReads(m.d)
	if err != nil {
		return err
	}
	if after == before {
		return errors.New("no read was served by a replica that has the session's write")
	}
	m.say("   Of ten later reads, %.0f were served by a replica that has the session's own write.", after-before)
	return nil
}

func (m *demo) move(ctx context.Context) error {
	before := m.caller.Address()
	m.caller.SwitchInstance()
	op, err := m.caller.Read(ctx, loader.Catalogue, "pitch-7", m.d.Plan.MaxAge)
	if err != nil || op.Got != 1 {
		return errors.Errorf("after the move: got %d, %v", op.Got, err)
	}
	m.say("5. The session moved without warning from %s to %s and still sees its write.", before, m.caller.Address())
	return nil
}

func (m *demo) killPrimary(ctx context.Context) error {
	primary, err := primaryOf(m.d, m.group)
	if err != nil {
		return err
	}
	m.say("6. Killing the primary %s. Nobody orders a promotion.", primary.Name)
	primary.Kill()
	begin := time.Now()
	for {
		op, err := m.caller.Write(ctx, loader.Catalogue, "pitch-7", 2)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return errors.Wrap(err, "no write succeeded after the failure")
		}
		m.say("   A write during the change was told: %s.", op.Outcome)
	}
	next, err := primaryOf(m.d, m.group)
	if err != nil {
		return err
	}
	if next.Name == primary.Name {
		return errors.New("the killed server is still seen as primary")
	}
	m.say("   %v later a write was acknowledged again; the primary is now %s.", time.Since(begin).Round(time.Millisecond), next.Name)
	op, err := m.caller.Read(ctx, loader.Catalogue, "pitch-7", m.d.Plan.MaxAge)
	if err != nil || op.Outcome != examiner.Done || op.Got != 2 {
		return errors.Errorf("own write not read back after the promotion: got %d, %v", op.Got, err)
	}
	m.say("   The client goes on and reads its own write.")
	return nil
}

func (m *demo) showTimeline(context.Context) error {
	m.say("7. The promotion in the timeline of all instances:")
	events, err := timeline(m.d)
	if err != nil {
		return err
	}
	shown := 0
	for _, e := range events {
		if e.Component == "promoter" && e.Group == m.group {
			m.say("   %6d  %-18s %-12s %v", e.Lamport, e.Instance, e.Kind, e.Fields)
			shown++
		}
	}
	if shown == 0 {
		return errors.New("the timeline shows no promotion")
	}
	return nil
}

// callerTarget lets a caller connect to every entry instance.
func callerTarget(d *deployer.Deployment, group string) loader.Target {
	target := loader.Target{
		Addresses: d.CallerAddresses(), LocalIP: d.ClientIP(), User: deployer.CallerName,
		Password: deployer.CallerPassword, Database: group, ConnectTimeout: 2 * time.Second,
	}
	if d.Plan.TLS {
		target.TLS = d.CallerTLS()
	}
	return target
}

// replicaReads sums the replica reads of all running instances.
func replicaReads(d *deployer.Deployment) (float64, error) {
	return sumMetric(d, "relayer.replica_reads")
}

func sumMetric(d *deployer.Deployment, name string) (float64, error) {
	sum := 0.0
	for _, e := range d.Entries {
		if e.IsDone() {
			continue
		}
		m, err := e.Metrics()
		if err != nil {
			return 0, err
		}
		sum += m[name]["count"]
	}
	return sum, nil
}

// primaryOf returns the running server that leads the highest term.
func primaryOf(d *deployer.Deployment, group string) (*deployer.Server, error) {
	var best *deployer.Server
	var term uint64
	for _, s := range d.ServersOf(group) {
		state, err := s.State()
		if err == nil && state.Role == string(tracker.RolePrimary) && state.Term > term {
			best, term = s, state.Term
		}
	}
	if best == nil {
		return nil, errors.Errorf("database group %s has no primary", group)
	}
	return best, nil
}

// timeline merges the events of all running instances.
func timeline(d *deployer.Deployment) ([]recorder.Event, error) {
	var all [][]recorder.Event
	for _, e := range d.Entries {
		if e.IsDone() {
			continue
		}
		events, err := e.Timeline()
		if err != nil {
			return nil, err
		}
		all = append(all, events)
	}
	return recorder.Merge(all...), nil
}
