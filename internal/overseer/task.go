package overseer

import (
	"context"
	"time"

	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/prober"
	"marigoldhub.example/hub/internal/promoter"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	// watchWait is the longest time for which the monitor may hold a WatchGroup
	// call.
	watchWait = 200 * time.Millisecond
	// drainingWatchWait is the wait of a caller while a planned change waits for
	// reports of work in flight.
	drainingWatchWait = 5 * time.Millisecond
	// watchNetworkAllowance is added to the wait for the timeout of a call.
	watchNetworkAllowance = 150 * time.Millisecond
	// watchRetryInterval is the time between calls that returned no view.
	watchRetryInterval = 50 * time.Millisecond
	// refreshInterval bounds the age of leaving marks and data ages in the
	// monitor's own view, and the delay until it notices that its role moved.
	refreshInterval = 50 * time.Millisecond
)

// task monitors or follows one group until it is closed.
type task struct {
	cfg   Config
	self  string
	group tracker.Group
	state *groupState
	stop  context.CancelFunc
	done  chan struct{}
	// cursor identifies the newest view received.
	cursor cursor
	// rejected is the newest server list that was rejected in favour of that of
	// group. Only the overseer uses it.
	rejected []tracker.Server
}

// cursor identifies a view by its monitor and sequence number.
type cursor struct {
	monitor string
	seq     uint64
}

func newTask(cfg Config, group tracker.Group, state *groupState) *task {
	ctx, cancel := context.WithCancel(context.Background())
	t := &task{
		cfg:   cfg,
		self:  cfg.Directory.Self().Instance,
		group: group,
		state: state,
		stop:  cancel,
		done:  make(chan struct{}),
	}
	go func() {
		defer close(t.done)
		t.run(ctx)
	}()
	return t
}

func (t *task) close() {
	t.stop()
	<-t.done
}

func (t *task) run(ctx context.Context) {
	for ctx.Err() == nil {
		holder := t.currentMonitor()
		if holder.Instance == t.self {
			t.monitor(ctx)
			continue
		}
		t.follow(ctx, holder)
	}
}

// currentMonitor returns the member that has the monitor role.
func (t *task) currentMonitor() enroller.Member {
	return t.cfg.Directory.Holder(confirmer.MonitorRole(t.group.Name))
}

// monitor monitors the group until the role moves to another instance.
func (t *task) monitor(ctx context.Context) {
	log := t.cfg.Log.WithField("group", t.group.Name)
	log.Info("overseer: this instance monitors the group")
	t.cfg.Recorder.Record("overseer", "duty_taken", t.group.Name)
	tr := tracker.New(t.group)
	tr.ImportAges(t.state.get(t.cfg.Clock.Now()))
	defer tr.Close()
	commanders := make(map[string]promoter.Commander)
	for _, s := range t.group.Servers {
		p := t.newProber(tr, s.Name)
		defer p.Close()
		commanders[s.Name] = p
	}
	t.state.setTracker(tr)
	defer t.state.setTracker(nil)
	prom := promoter.New(promoter.Config{
		Instance:   t.self,
		Tracker:    tr,
		Commanders: commanders,
		Planner:    planner{t},
		Clock:      t.cfg.Clock,
		Recorder:   t.cfg.Recorder,
		Log:        t.cfg.Log,
	})
	defer prom.Close()
	t.publishLoop(ctx, tr)
	log.Info("overseer: this instance no longer monitors the group")
	t.cfg.Recorder.Record("overseer", "duty_left", t.group.Name)
}

func (t *task) newProber(tr *tracker.Tracker, server string) *prober.Prober {
	return prober.New(prober.Config{
		Server:  server,
		Connect: t.cfg.Connect(t.group.Name, server),
		Tracker: tr,
		Clock:   t.cfg.Clock,
		Log:     t.cfg.Log,
	})
}

// publishLoop publishes views while this instance has the monitor role, and
// declines the role after a lasting loss of the quorum.
func (t *task) publishLoop(ctx context.Context, tr *tracker.Tracker) {
	var loss quorumLoss
	for ctx.Err() == nil && t.currentMonitor().Instance == t.self {
		if loss.update(tr.LacksQuorum(), t.cfg.Clock.Now()) {
			t.declineSelf()
		}
		changed := tr.Changed()
		t.state.publish(t.addLeavingMarks(tr.View()), t.cfg.Clock.Now())
		select {
		case <-changed:
		case <-t.cfg.Directory.Changed():
		case <-t.cfg.Clock.After(refreshInterval):
		case <-ctx.Done():
		}
	}
}

// addLeavingMarks marks the replicas that are leaving although the servers
// themselves do not report it.
func (t *task) addLeavingMarks(v tracker.View) tracker.View {
	for i := range v.Replicas {
		v.Replicas[i].Leaving = v.Replicas[i].Leaving || t.isMarkedLeaving(v.Replicas[i].Server)
	}
	return v
}

// isMarkedLeaving reports whether a drain or the platform's list names the server.
func (t *task) isMarkedLeaving(server string) bool {
	if t.cfg.Catalog.Catalog().IsDrained(t.group.Name, server) {
		return true
	}
	return t.cfg.IsLeaving != nil && t.cfg.IsLeaving(server)
}

// follow makes one WatchGroup call, and waits for watchRetryInterval if it
// returned no view.
func (t *task) follow(ctx context.Context, holder enroller.Member) {
	sentAt := t.cfg.Clock.Now()
	resp, err := t.callWatch(ctx, holder)
	if err == nil && resp.GetIsMonitor() {
		err = t.apply(resp, sentAt)
		if err == nil {
			return
		}
	}
	if err == nil && resp.GetDeclined() {
		t.decline(holder.Instance)
	}
	if err != nil {
		t.cfg.Log.WithField("group", t.group.Name).WithError(err).Debug("overseer: cannot get the view of the group from its monitor")
	}
	select {
	case <-t.cfg.Clock.After(watchRetryInterval):
	case <-ctx.Done():
	}
}

func (t *task) callWatch(ctx context.Context, holder enroller.Member) (*wire.WatchGroupResponse, error) {
	wait, inFlight := watchWait, -1
	if t.state.get(t.cfg.Clock.Now()).Draining {
		wait = drainingWatchWait
		inFlight = t.inFlight()
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchNetworkAllowance)
	defer cancel()
	go t.cancelOnHandover(ctx, cancel, holder)
	conn, err := t.cfg.Dialer.Dial(ctx, holder.Address)
	if err != nil {
		return nil, err
	}
	resp, err := wire.NewDRPCGroupsClient(conn).WatchGroup(ctx, &wire.WatchGroupRequest{
		Header:          &wire.Header{Instance: t.self, Lamport: t.cfg.Recorder.Tick()},
		Group:           t.group.Name,
		Monitor:         t.cursor.monitor,
		Seq:             t.cursor.seq,
		WaitMs:          uint32(wait.Milliseconds()),
		PrimaryInFlight: int32(inFlight),
	})
	if err != nil {
		return nil, err
	}
	t.cfg.Recorder.Observe(resp.GetHeader().GetLamport())
	return resp, nil
}

// cancelOnHandover cancels the call when the role moves to another member. A
// paused monitor would otherwise keep its callers until their timeout.
func (t *task) cancelOnHandover(ctx context.Context, cancel context.CancelFunc, holder enroller.Member) {
	for {
		changed := t.cfg.Directory.Changed()
		if t.currentMonitor().Instance != holder.Instance {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (t *task) inFlight() int {
	if t.cfg.InFlight == nil {
		return 0
	}
	return t.cfg.InFlight.InFlight(t.group.Name)
}

func (t *task) apply(resp *wire.WatchGroupResponse, sentAt time.Time) error {
	v, err := decodeView(resp.GetView(), sentAt)
	if err != nil {
		return err
	}
	t.cursor = cursor{monitor: v.Monitor, seq: v.Seq}
	t.state.accept(t.addLeavingMarks(v), resp.GetView().GetCompletedSwitchovers(), t.cfg.Clock.Now())
	return nil
}
