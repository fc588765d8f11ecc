// Package registrar lists this instance in the store for as long as it lives,
// and keeps the list of the others.
//
// An entry has a lease. While the store is away the last list stays: losing
// sight of the store says nothing about the other instances.
package registrar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/storer"
)

// Prefix is where instances are listed.
const Prefix = "marigold/instances/"

const (
	// leaseTime outlives two lost renewals; the share of a dead instance's
	// connections is free after it.
	leaseTime = 6 * time.Second
	// renewInterval costs a tenth of a read each.
	renewInterval = 2 * time.Second
	// listPerInstance lengthens the pause between two lists with the number of
	// instances, so that all together list as often.
	listPerInstance = 100 * time.Millisecond
	// retryInterval follows a failed call. In large fleets retryPerInstance for
	// each instance follows, because refused calls are priced, too.
	retryInterval    = 500 * time.Millisecond
	retryPerInstance = 25 * time.Millisecond
)

// Instance is a listed instance.
type Instance struct {
	Name string `json:"name"`
	// Address is where other instances reach it.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Processor is its share of processors in thousandths of a core; 0 when it
	// is not known.
	Processor int `json:"processor_millicores,omitempty"`
	// Incarnation differs for each start of the process.
	Incarnation int64 `json:"incarnation"`
}

// Config holds what a [Registrar] needs.
type Config struct {
	Store storer.Store
	Self  Instance
	Clock clockwork.Clock
	Log   logrus.FieldLogger
}

// Registrar keeps the entry and the list.
type Registrar struct {
	cfg Config

	mu       sync.Mutex
	others   []Instance
	revision int64
	lease    int64
	listed   time.Time
	changed  chan struct{}

	cancel context.CancelFunc
	done   chan struct{}
}

// New starts to list the instance.
func New(cfg Config) *Registrar {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Registrar{cfg: cfg, changed: make(chan struct{}), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		r.run(ctx)
	}()
	return r
}

// Others returns the other instances in order of their names.
func (r *Registrar) Others() []Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.others
}

// IsListed reports whether the instances have been listed at least once.
func (r *Registrar) IsListed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.listed.IsZero()
}

// Changed returns a channel that is closed at the next change of the list.
func (r *Registrar) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Count returns how many instances live in the zone and elsewhere, this one
// included.
func (r *Registrar) Count(zone string) (near, far int) {
	count := func(z string) {
		if z == zone {
			near++
		} else {
			far++
		}
	}
	count(r.cfg.Self.Zone)
	for _, o := range r.Others() {
		count(o.Zone)
	}
	return near, far
}

// Done returns a channel that is closed when the registrar has stopped.
func (r *Registrar) Done() <-chan struct{} { return r.done }

// Close takes the instance off the list.
func (r *Registrar) Close() {
	r.cancel()
	<-r.done
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	if lease != 0 {
		if err := r.cfg.Store.Revoke(context.Background(), lease); err != nil {
			r.cfg.Log.WithError(err).Info("registrar: entry was not removed; it lapses by itself")
		}
	}
}

func (r *Registrar) run(ctx context.Context) {
	var lost time.Time
	for ctx.Err() == nil {
		err := r.renew(ctx)
		if err == nil && r.isListDue() {
			err = r.list(ctx)
		}
		wait := renewInterval*3/4 + rand.N(renewInterval/2)
		if err != nil {
			wait = max(retryInterval, time.Duration(len(r.Others()))*retryPerInstance)
		}
		lost = r.noteStore(ctx, err, lost)
		select {
		case <-r.cfg.Clock.After(wait):
		case <-ctx.Done():
		}
	}
}

// noteStore logs when the store is lost and when it is back. It returns since
// when it has been lost.
func (r *Registrar) noteStore(ctx context.Context, err error, lost time.Time) time.Time {
	switch {
	case err == nil && !lost.IsZero():
		r.cfg.Log.WithField("after", r.cfg.Clock.Since(lost).String()).Info("registrar: store is back")
		return time.Time{}
	case err != nil && lost.IsZero() && ctx.Err() == nil:
		r.cfg.Log.WithError(err).Warn("registrar: store is out of reach")
		return r.cfg.Clock.Now()
	}
	return lost
}

// renew keeps the entry, or writes it again when its lease has ended.
func (r *Registrar) renew(ctx context.Context) error {
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	if lease != 0 {
		_, err := r.cfg.Store.KeepAlive(ctx, lease)
		if !errors.Is(err, storer.ErrLeaseNotFound) {
			return err
		}
	}
	return r.register(ctx)
}

func (r *Registrar) register(ctx context.Context) error {
	lease, err := r.cfg.Store.GrantLease(ctx, leaseTime)
	if err != nil {
		return err
	}
	value, err := json.Marshal(r.cfg.Self)
	if err != nil {
		return err
	}
	tx := storer.Transaction{}.WithLeasedPut(Prefix+r.cfg.Self.Name, value, lease)
	if _, err := r.cfg.Store.Commit(ctx, tx); err != nil {
		return err
	}
	r.mu.Lock()
	r.lease = lease
	r.mu.Unlock()
	r.cfg.Log.WithField("lease", lease).Info("registrar: instance is listed")
	return nil
}

func (r *Registrar) isListDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Clock.Since(r.listed) >= time.Duration(len(r.others))*listPerInstance
}

func (r *Registrar) list(ctx context.Context) error {
	list := r.cfg.Store.List
	if stale, ok := r.cfg.Store.(storer.StaleLister); ok && len(r.Others()) > 0 {
		list = stale.ListStale
	}
	entries, revision, err := list(ctx, Prefix)
	if err != nil {
		return err
	}
	r.apply(entries, revision)
	return nil
}

func (r *Registrar) apply(entries []storer.Entry, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.revision {
		return
	}
	isFirst := r.listed.IsZero()
	r.revision, r.listed = revision, r.cfg.Clock.Now()
	var others []Instance
	for _, e := range entries {
		var o Instance
		if err := json.Unmarshal(e.Value, &o); err != nil || o.Name != strings.TrimPrefix(e.Key, Prefix) {
			r.cfg.Log.WithField("key", e.Key).Warn("registrar: entry names no instance")
			continue
		}
		if o.Name != r.cfg.Self.Name {
			others = append(others, o)
		}
	}
	sort.Slice(others, func(i, j int) bool { return others[i].Name < others[j].Name })
	if len(others) != len(r.others) {
		r.cfg.Log.WithFields(logrus.Fields{"others": len(others), "revision": revision}).Info("registrar: list of instances changed")
	}
	if isFirst || !slices.Equal(others, r.others) {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	r.others = others
}
