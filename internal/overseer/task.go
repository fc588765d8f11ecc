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
	// watchWait is the time for which the monitor may hold a WatchGroup call.
	watchWait = 200 * time.Millisecond
	// drainingWait replaces it while a planned change waits for reports.
	drainingWait = 5 * time.Millisecond
	// watchSlack is added for the network.
	watchSlack = 150 * time.Millisecond
	// watchRetry is the time between calls that had no answer.
	watchRetry = 50 * time.Millisecond
	// refreshInterval bounds the age of leaving marks and ages in the view that
	// the monitor itself uses, and the delay of noticing a moved duty.
	refreshInterval = 50 * time.Millisecond
)

// task serves one group until it is closed.
type task struct {
	cfg   Config
	self  string
	group tracker.Group
	board *board
	stop  context.CancelFunc
	done  chan struct{}
	// cursor names the newest view received.
	cursor cursor
	// refused is the newest server list that was refused in place of that of
	// group. Only the overseer uses it.
	refused []tracker.Server
}

type cursor struct {
	monitor string
	seq     uint64
}

func newTask(cfg Config, group tracker.Group, b *board) *task {
	ctx, cancel := context.WithCancel(context.Background())
	t := &task{
		cfg:   cfg,
		self:  cfg.Directory.Self().Instance,
		group: group,
		board: b,
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
		holder := t.holder()
		if holder.Instance == t.self {
			t.lead(ctx)
			continue
		}
		t.watch(ctx, holder)
	}
}

func (t *task) holder() enroller.Member {
	return t.cfg.Directory.Holder(confirmer.DutyName(t.group.Name))
}

// lead monitors the group until the duty moves.
func (t *task) lead(ctx context.Context) {
	log := t.cfg.Log.WithField("group", t.group.Name)
	log.Info("overseer: this instance monitors the group")
	t.cfg.Recorder.Record("overseer", "duty_taken", t.group.Name)
	tr := tracker.New(t.group)
	tr.Seed(t.board.get(t.cfg.Clock.Now()))
	defer tr.Retire()
	commanders := make(map[string]promoter.Commander)
	for _, s := range t.group.Servers {
		p := t.newProber(tr, s.Name)
		defer p.Close()
		commanders[s.Name] = p
	}
	t.board.setTracker(tr)
	defer t.board.setTracker(nil)
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

func (t *task) publishLoop(ctx context.Context, tr *tracker.Tracker) {
	var blind blindness
	for ctx.Err() == nil && t.holder().Instance == t.self {
		if blind.lasts(tr.IsBlind(), t.cfg.Clock.Now()) {
			t.declineSelf()
		}
		changed := tr.Changed()
		t.board.publish(t.mark(tr.View()), t.cfg.Clock.Now())
		select {
		case <-changed:
		case <-t.cfg.Directory.Changed():
		case <-t.cfg.Clock.After(refreshInterval):
		case <-ctx.Done():
		}
	}
}

// mark adds leaving marks that do not come from the servers themselves.
func (t *task) mark(v tracker.View) tracker.View {
	for i := range v.Replicas {
		v.Replicas[i].Leaving = v.Replicas[i].Leaving || t.isMarked(v.Replicas[i].Server)
	}
	return v
}

// isMarked reports whether a drain or the platform's list names the server.
func (t *task) isMarked(server string) bool {
	if t.cfg.Catalog.Catalog().IsDrained(t.group.Name, server) {
		return true
	}
	return t.cfg.IsLeaving != nil && t.cfg.IsLeaving(server)
}

// watch makes one WatchGroup call.
func (t *task) watch(ctx context.Context, holder enroller.Member) {
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
		t.cfg.Log.WithField("group", t.group.Name).WithError(err).Debug("overseer: monitor gave no view")
	}
	select {
	case <-t.cfg.Clock.After(watchRetry):
	case <-ctx.Done():
	}
}

func (t *task) callWatch(ctx context.Context, holder enroller.Member) (*wire.WatchGroupResponse, error) {
	wait, inFlight := watchWait, -1
	if t.board.get(t.cfg.Clock.Now()).Draining {
		wait = drainingWait
		inFlight = t.inFlight()
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	go t.cancelOnMove(ctx, cancel, holder)
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

// cancelOnMove ends the call to a holder that loses the duty: a frozen one
// would keep its callers until their timeout.
func (t *task) cancelOnMove(ctx context.Context, cancel context.CancelFunc, holder enroller.Member) {
	for {
		changed := t.cfg.Directory.Changed()
		if t.holder().Instance != holder.Instance {
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
	t.board.accept(t.mark(v), resp.GetView().GetCompletedSwitchovers(), t.cfg.Clock.Now())
	return nil
}
