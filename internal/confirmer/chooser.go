package confirmer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	// monitorSilenceLimit is the time without an answer of the monitor after
	// which an instance reads the servers' statuses itself.
	monitorSilenceLimit = 300 * time.Millisecond
	// monitorRetryInterval is the time between requests to a monitor that did not
	// answer.
	monitorRetryInterval = 10 * time.Millisecond
)

// MonitorRole returns the name of the role to monitor the group, by which
// enroller.Directory finds the member that has it.
func MonitorRole(group string) string { return "monitor/" + group }

// Config configures a [Chooser].
type Config struct {
	// Directory finds the instance that monitors a group.
	Directory enroller.Directory
	// Catalog declares the servers of the groups.
	Catalog checker.CatalogSource
	// Trackers provides the trackers of the groups that this instance monitors.
	Trackers TrackerSource
	// Groups provides the servers that direct reads count. If it is nil, they
	// count those of the catalog.
	Groups GroupSource
	// Dialer connects to other instances.
	Dialer messenger.Dialer
	// Read reads a status over a pooled connection of this instance.
	Read     ReadFunc
	Clock    clockwork.Clock
	Recorder *recorder.Recorder
}

// GroupSource provides the server lists in use.
type GroupSource interface {
	// Group returns the group, and false if it is unknown.
	Group(name string) (tracker.Group, bool)
}

// Chooser confirms through the instance that monitors the group, which may be
// this one. While the monitor does not answer, it also reads the statuses of the
// servers itself.
type Chooser struct {
	cfg    Config
	local  *Local
	remote *Remote
	direct *Direct

	mu       sync.Mutex
	silences map[string]*silenceTimer
}

var _ Confirmer = (*Chooser)(nil)

// New returns a confirmer for all groups of the catalog.
func New(cfg Config) *Chooser {
	return &Chooser{
		cfg:    cfg,
		local:  NewLocal(cfg.Trackers, cfg.Clock),
		remote: NewRemote(cfg.Directory.Self().Instance, cfg.Dialer, cfg.Clock, cfg.Recorder),
		direct: NewDirect(cfg.Read, cfg.Clock),

		silences: make(map[string]*silenceTimer),
	}
}

// silenceOf returns the silence timer that all requests of the group share.
func (c *Chooser) silenceOf(group string) *silenceTimer {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.silences[group]
	if !ok {
		s = &silenceTimer{clock: c.cfg.Clock}
		c.silences[group] = s
	}
	return s
}

// Confirm implements [Confirmer]. When the monitor has been silent for
// monitorSilenceLimit, direct reads run beside the requests to it, and the first
// answer counts.
func (c *Chooser) Confirm(ctx context.Context, req Request) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := c.silenceOf(req.Group)
	answers := make(chan answer, 2)
	go func() { answers <- c.askMonitor(ctx, req, silence) }()
	timer := c.cfg.Clock.NewTimer(max(monitorSilenceLimit-silence.elapsed(), 0))
	defer timer.Stop()
	isReading := false
	for {
		select {
		case a := <-answers:
			return a.result, a.err
		case <-ctx.Done():
			return Result{}, ctx.Err()
		case <-timer.Chan():
		}
		if rest := monitorSilenceLimit - silence.elapsed(); rest > 0 {
			timer.Reset(rest)
			continue
		}
		if !isReading {
			isReading = true
			go func() { answers <- c.readServers(ctx, req) }()
		}
	}
}

// askMonitor asks the monitor until it gives a result or ctx ends.
func (c *Chooser) askMonitor(ctx context.Context, req Request, silence *silenceTimer) answer {
	for {
		result, err := c.askMonitorOnce(ctx, req)
		if err == nil || errors.Is(err, ErrUndecided) {
			silence.reset()
		}
		if err == nil {
			return answer{result: result}
		}
		if errors.Is(err, ErrUndecided) {
			continue
		}
		select {
		case <-ctx.Done():
			return answer{err: ctx.Err()}
		case <-c.cfg.Clock.After(monitorRetryInterval):
		}
	}
}

// askMonitorOnce asks the monitor once, which may be this instance.
func (c *Chooser) askMonitorOnce(ctx context.Context, req Request) (Result, error) {
	if _, ok := c.cfg.Trackers.Tracker(req.Group); ok {
		return c.askLocal(ctx, req)
	}
	holder := c.cfg.Directory.Holder(MonitorRole(req.Group))
	if holder.Instance == c.cfg.Directory.Self().Instance {
		return Result{}, ErrNotMonitor
	}
	return c.remote.Confirm(ctx, holder.Address, req)
}

// askLocal waits no longer than a remote call does, so that a local tracker
// without a quorum is treated like a monitor that does not answer.
func (c *Chooser) askLocal(ctx context.Context, req Request) (Result, error) {
	waitCtx, cancel := context.WithTimeout(ctx, remoteWait)
	defer cancel()
	result, err := c.local.Confirm(waitCtx, req)
	switch {
	case err == nil || ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded):
		return result, err
	case c.local.lacksQuorum(req.Group):
		return result, ErrNotMonitor
	default:
		return result, ErrUndecided
	}
}

// readServers confirms by direct reads.
func (c *Chooser) readServers(ctx context.Context, req Request) answer {
	group, ok := c.group(req.Group)
	if !ok {
		return answer{err: ErrUnknownGroup}
	}
	result, err := c.direct.Confirm(ctx, group, req)
	return answer{result: result, err: err}
}

// group returns the servers that direct reads count.
func (c *Chooser) group(name string) (tracker.Group, bool) {
	if c.cfg.Groups != nil {
		return c.cfg.Groups.Group(name)
	}
	group, ok := c.cfg.Catalog.Catalog().Group(name)
	return group.TrackerGroup(), ok
}
