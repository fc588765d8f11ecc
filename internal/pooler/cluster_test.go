package pooler_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/divider"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/tracker"
)

// source is a catalog source that does not change.
type source struct{ catalog *checker.Catalog }

func (s source) Catalog() *checker.Catalog { return s.catalog }
func (source) Changed() <-chan struct{}    { return nil }

type noViews struct{}

func (noViews) View(string) (tracker.View, bool) { return tracker.View{}, false }
func (noViews) Changed(string) <-chan struct{}   { return nil }

// groupsService serves the part of wire.Groups that concerns grants.
type groupsService struct {
	wire.DRPCGroupsUnimplementedServer
	*divider.Divider
}

func (s *groupsService) Grant(ctx context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	return s.Divider.Grant(ctx, req)
}

// instance is an entry instance that serves no callers.
type instance struct {
	roster *enroller.Membership
	pool   *pooler.Pool
	stop   func()
}

func startInstance(t *testing.T, name string, lis net.Listener, seed string, server *pooler.ScriptedServer) *instance {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	catalog := source{checker.NewCatalog(checker.Manifest{Groups: []checker.Group{{
		Name: "g", Database: "core", ServerUser: "proxy",
		Servers: []checker.Server{{Name: "a", Address: server.Address(), ConnectionLimit: 20}},
	}}})}
	timeline := recorder.New(name, 64, clockwork.NewRealClock())
	dialer := messenger.NewPool(messenger.PoolConfig{})
	roster := enroller.New(enroller.Config{
		Self:  enroller.Member{Instance: name, Address: lis.Addr().String(), Zone: "z1"},
		Seeds: []string{seed}, Dialer: dialer, Log: log, Recorder: timeline,
	})
	count := func(string, string) (int, bool) { return server.Open() + 1, true }
	giver := divider.New(divider.Config{Catalog: catalog, Directory: roster, Count: count, Recorder: timeline})
	srv := messenger.NewServer(messenger.ServerConfig{Listener: lis, Log: log})
	if err := errors.Join(
		wire.DRPCRegisterMembership(srv.Mux(), roster),
		wire.DRPCRegisterGroups(srv.Mux(), &groupsService{Divider: giver}),
	); err != nil {
		t.Fatal(err)
	}
	srv.Start()
	pool := pooler.New(pooler.Config{
		Catalog: catalog, Views: noViews{}, Directory: roster, Dialer: dialer, Granter: giver, Log: log, Recorder: timeline,
	})
	stop := sync.OnceFunc(func() {
		_ = srv.Close()
		_ = pool.Close()
		_ = roster.Close()
		_ = giver.Close()
		_ = dialer.Close()
	})
	t.Cleanup(stop)
	return &instance{roster: roster, pool: pool, stop: stop}
}

// Guards against a cluster whose instances together open more connections than
// a server's limit minus the reserved ones, also while instances start and the
// monitor dies, and against requests that are refused because of this limit.
func TestClusterStaysWithinLimit(t *testing.T) {
	const limit, members = 18, 4
	server := pooler.StartServer(t, limit)
	first, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	seed := first.Addr().String()
	var cluster []*instance
	for i := range members {
		lis := first
		if i > 0 {
			if lis, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
				t.Fatal(err)
			}
		}
		cluster = append(cluster, startInstance(t, fmt.Sprint("entry-", i), lis, seed, server))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var served, refused atomic.Int64
	var callers sync.WaitGroup
	dead := make([]atomic.Bool, members)
	for i, inst := range cluster {
		for range 8 {
			callers.Go(func() {
				for ctx.Err() == nil && !dead[i].Load() {
					c, err := inst.pool.Acquire(ctx, pooler.Request{Group: "g", Server: "a", Class: pooler.Write})
					if err != nil {
						if ctx.Err() == nil && !dead[i].Load() {
							refused.Add(1)
							t.Log(err)
						}
						continue
					}
					pooler.Run(t, c, "select")
					time.Sleep(time.Millisecond)
					c.Release()
					served.Add(1)
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	monitor := cluster[0].roster.Holder(pooler.MonitorRole("g")).Instance
	survivor := cluster[0]
	for i, inst := range cluster {
		if inst.roster.Self().Instance == monitor {
			dead[i].Store(true)
			inst.stop()
		} else {
			survivor = inst
		}
	}
	time.Sleep(5 * time.Second)
	stats := survivor.pool.Stats()[0]
	cancel()
	callers.Wait()
	t.Logf("served=%d refused=%d allowance_of_a_survivor=%d", served.Load(), refused.Load(), stats.Allowance)
	if stats.Allowance != limit/(members-1) {
		t.Errorf("allowance %d after the monitor's death, want %d", stats.Allowance, limit/(members-1))
	}
	if n := refused.Load(); n > 0 {
		t.Errorf("%d requests were refused", n)
	}
	for _, inst := range cluster {
		if s := inst.pool.Stats()[0]; s.OpenFailures > 0 {
			t.Errorf("%s was refused %d connections by the server", inst.roster.Self().Instance, s.OpenFailures)
		}
	}
}
