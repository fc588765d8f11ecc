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
	// monitorSilence is the time without an answer of the monitor after which
	// an instance reads the statuses itself.
	monitorSilence = 300 * time.Millisecond
	// askRetry is the time between questions to a monitor that gave no answer.
	askRetry = 10 * time.Millisecond
)

// DutyName returns the name of the duty to monitor a group.
func DutyName(group string) string { return "monitor/" + group }

// Config configures a [Chooser].
type Config struct {
	Directory enroller.Directory
	Catalog   checker.CatalogSource
	// Trackers are those of the groups that this instance monitors.
	Trackers TrackerSource
	// Groups gives the servers that direct reads count. When it is nil, those
	// of the catalog count.
	Groups GroupSource
	Dialer messenger.Dialer
	// Read reads a status over a pooled connection of this instance.
	Read     ReadFunc
	Clock    clockwork.Clock
	Recorder *recorder.Recorder
}

// GroupSource gives the server lists in use.
type GroupSource interface {
	// Group returns the group, and false when it is unknown.
	Group(name string) (tracker.Group, bool)
}

// Chooser confirms through whoever monitors the group: this instance, another
// one, or nobody, in which case it reads the statuses itself.
type Chooser struct {
	cfg    Config
	local  *Local
	remote *Remote
	direct *Direct

	mu       sync.Mutex
	hearings map[string]*hearing
}

var _ Confirmer = (*Chooser)(nil)

// New returns a confirmer for all groups.
func New(cfg Config) *Chooser {
	return &Chooser{
		cfg:    cfg,
		local:  NewLocal(cfg.Trackers, cfg.Clock),
		remote: NewRemote(cfg.Directory.Self().Instance, cfg.Dialer, cfg.Clock, cfg.Recorder),
		direct: NewDirect(cfg.Read, cfg.Clock),

		hearings: make(map[string]*hearing),
	}
}

func (c *Chooser) hearing(group string) *hearing {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.hearings[group]
	if !ok {
		h = &hearing{clock: c.cfg.Clock}
		c.hearings[group] = h
	}
	return h
}

// Confirm implements [Confirmer]. Once the monitor has been silent for a
// while, direct reads run beside the questions to it, and the first answer
// counts.
func (c *Chooser) Confirm(ctx context.Context, req Request) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	heard := c.hearing(req.Group)
	answers := make(chan answer, 2)
	go func() { answers <- c.ask(ctx, req, heard) }()
	timer := c.cfg.Clock.NewTimer(max(monitorSilence-heard.silence(), 0))
	defer timer.Stop()
	isDirect := false
	for {
		select {
		case a := <-answers:
			return a.result, a.err
		case <-ctx.Done():
			return Result{}, ctx.Err()
		case <-timer.Chan():
		}
		if rest := monitorSilence - heard.silence(); rest > 0 {
			timer.Reset(rest)
			continue
		}
		if !isDirect {
			isDirect = true
			go func() { answers <- c.askServers(ctx, req) }()
		}
	}
}

// ask asks the monitor until it decides or ctx ends.
func (c *Chooser) ask(ctx context.Context, req Request, heard *hearing) answer {
	for {
		result, err := c.askOnce(ctx, req)
		if err == nil || errors.Is(err, ErrUndecided) {
			heard.note()
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
		case <-c.cfg.Clock.After(askRetry):
		}
	}
}

func (c *Chooser) askOnce(ctx context.Context, req Request) (Result, error) {
	if _, ok := c.cfg.Trackers.Tracker(req.Group); ok {
		return c.askLocal(ctx, req)
	}
	holder := c.cfg.Directory.Holder(DutyName(req.Group))
	if holder.Instance == c.cfg.Directory.Self().Instance {
		return Result{}, ErrNotMonitor
	}
	return c.remote.Confirm(ctx, holder.Address, req)
}

// askLocal waits no longer than a remote call does, so that a local tracker
// that reaches no majority is noticed.
func (c *Chooser) askLocal(ctx context.Context, req Request) (Result, error) {
	waitCtx, cancel := context.WithTimeout(ctx, remoteWait)
	defer cancel()
	result, err := c.local.Confirm(waitCtx, req)
	switch {
	case err == nil || ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded):
		return result, err
	case c.local.isBlind(req.Group):
		return result, ErrNotMonitor
	default:
		return result, ErrUndecided
	}
}

func (c *Chooser) askServers(ctx context.Context, req Request) answer {
	group, ok := c.group(req.Group)
	if !ok {
		return answer{err: ErrUnknownGroup}
	}
	result, err := c.direct.Confirm(ctx, group, req)
	return answer{result: result, err: err}
}

func (c *Chooser) group(name string) (tracker.Group, bool) {
	if c.cfg.Groups != nil {
		return c.cfg.Groups.Group(name)
	}
	group, ok := c.cfg.Catalog.Catalog().Group(name)
	return group.TrackerGroup(), ok
}
