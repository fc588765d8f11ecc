package measurer

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"marigoldhub.example/hub/internal/deployer"
	"marigoldhub.example/hub/internal/examiner"
	"marigoldhub.example/hub/internal/loader"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	opTimeout      = 8 * time.Second
	connectTimeout = 2 * time.Second
)

// installation is a running deployment with the tables of package loader.
type installation struct{ *deployer.Deployment }

// start runs an installation in a folder of its own below dir.
func start(ctx context.Context, plan deployer.Plan, bin, dir string) (installation, error) {
	folder, err := os.MkdirTemp(dir, plan.Customer+"-"+plan.Routing)
	if err != nil {
		return installation{}, err
	}
	d, err := deployer.Start(ctx, plan, bin, folder)
	if err != nil {
		return installation{}, errors.Wrapf(err, "start %s", plan.Customer)
	}
	in := installation{d}
	if err := in.migrate(ctx); err != nil {
		d.Close()
		return in, err
	}
	return in, nil
}

func (in installation) migrate(ctx context.Context) error {
	var g errgroup.Group
	for _, group := range in.Plan.Groups {
		g.Go(func() error {
			c := loader.NewCaller(1, 1, in.target(group), loader.NewHistory(), opTimeout)
			defer c.Close()
			if err := c.CreateTables(ctx); err != nil {
				return errors.Wrapf(err, "create tables of %s", group)
			}
			return nil
		})
	}
	return g.Wait()
}

// clear empties table catalogue and waits until the replicas have it. Values
// of every crowd start anew; an old value would hide a stale read.
func (in installation) clear(ctx context.Context) error {
	if err := in.setLag(in.Plan.ApplyDelay); err != nil {
		return err
	}
	for _, group := range in.Plan.Groups {
		conn, err := connect(ctx, in.Entries[0].DirectAddress, group, "")
		if err != nil {
			return err
		}
		_, err = conn.Exec(ctx, "DELETE FROM catalogue")
		_ = conn.Close(ctx)
		if err != nil {
			return errors.Wrapf(err, "clear catalogue of %s", group)
		}
	}
	time.Sleep(4 * in.Plan.ApplyDelay)
	return nil
}

// target lets callers connect to the given instances, or to all.
func (in installation) target(group string, addresses ...string) loader.Target {
	if len(addresses) == 0 {
		addresses = in.CallerAddresses()
	}
	return loader.Target{
		Addresses: addresses, LocalIP: in.ClientIP(), User: deployer.CallerName,
		Password: deployer.CallerPassword, Database: group, ConnectTimeout: connectTimeout,
	}
}

// counter sums a counter over all instances.
func (in installation) counter(name string) (float64, error) {
	sum := 0.0
	for _, e := range in.Entries {
		m, err := e.Metrics()
		if err != nil {
			return 0, err
		}
		sum += m[name]["count"]
	}
	return sum, nil
}

// setLag sets the lag of all servers at nearly the same time.
func (in installation) setLag(d time.Duration) error {
	var g errgroup.Group
	for _, s := range in.Servers {
		g.Go(func() error { return s.SetLag(d) })
	}
	return g.Wait()
}

// primary returns the server that leads the highest term of a group.
func (in installation) primary(group string) (*deployer.Server, uint64, error) {
	var best *deployer.Server
	var term uint64
	for _, s := range in.ServersOf(group) {
		state, err := s.State()
		if err == nil && state.Role == string(tracker.RolePrimary) && state.Term > term {
			best, term = s, state.Term
		}
	}
	if best == nil {
		return nil, 0, errors.Errorf("database group %s has no primary", group)
	}
	return best, term, nil
}

// settle waits until every server of a group has the newest term, one of them
// is the primary, and the others are replicas that store its whole log.
func (in installation) settle(ctx context.Context, group string, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		err := in.isSettled(group)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return errors.Wrapf(err, "%s not settled within %v", group, limit)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

func (in installation) isSettled(group string) error {
	leader, term, err := in.primary(group)
	if err != nil {
		return err
	}
	for _, s := range in.ServersOf(group) {
		state, err := s.State()
		if err != nil {
			return err
		}
		if s != leader && (state.Term != term || state.Role != string(tracker.RoleReplica) || state.LogTerm != term) {
			return errors.Errorf("%s is %s in term %d with log term %d, the primary %s has term %d",
				s.Name, state.Role, state.Term, state.LogTerm, leader.Name, term)
		}
	}
	return nil
}

// rows counts the keys of a table at the primary of a group.
func (in installation) rows(ctx context.Context, group, table string) (examiner.RowCounts, error) {
	primary, _, err := in.primary(group)
	if err != nil {
		return nil, err
	}
	conn, err := connect(ctx, primary.DirectAddress, group, "")
	if err != nil {
		return nil, err
	}
	defer conn.Close(context.WithoutCancel(ctx))
	list, err := conn.Query(ctx, fmt.Sprintf("SELECT key FROM %s", table))
	if err != nil {
		return nil, err
	}
	defer list.Close()
	rows := examiner.RowCounts{}
	for list.Next() {
		var key string
		if err := list.Scan(&key); err != nil {
			return nil, err
		}
		rows[key]++
	}
	return rows, list.Err()
}
