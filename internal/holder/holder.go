package holder

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/storer"
)

// Keys of the store.
const (
	keyPrefix = "marigold/duty/"
	liveKey   = keyPrefix + "live"
	recordKey = keyPrefix + "record"
)

const (
	// leaseTTL is the longest time in which two instances could believe to be the
	// coordinator. A shorter one would end during a brief outage of the store; a
	// longer one delays a change of primary after the coordinator has failed.
	leaseTTL = 1500 * time.Millisecond
	// leaseMargin is how long before the end of its lease a coordinator stops
	// acting, so that a call that has begun ends within the lease.
	leaseMargin = 250 * time.Millisecond
	// renewInterval separates two renewals; the store charges a tenth of a read for
	// each.
	renewInterval = 350 * time.Millisecond
	// PrimaryLeaseTTL is how long a primary lease holds. A new coordinator waits for
	// it after the end of the last tenure.
	PrimaryLeaseTTL = 300 * time.Millisecond
	// CampaignInterval is the mean pause between two checks of an instance of a
	// small fleet whether there is a coordinator. Package noder lengthens it for
	// larger fleets and sets [Config.CampaignInterval].
	CampaignInterval = 700 * time.Millisecond
	// campaignJitter spreads the instances' attempts to become the coordinator.
	campaignJitter = 200 * time.Millisecond
)

// Config holds what a [Holder] needs.
type Config struct {
	Store storer.Store
	// Name is this instance; Address is where others ask it to end a tenure.
	Name, Address string
	// EndTenure asks the last coordinator to stop acting under the token. It returns
	// false when there is no proof that it has stopped.
	EndTenure func(ctx context.Context, address string, token int64) bool
	// CampaignInterval returns the mean pause between two checks whether there is a
	// coordinator.
	CampaignInterval func() time.Duration
	Clock            clockwork.Clock
	Log              logrus.FieldLogger
}

// record is the last coordinator, as stored.
type record struct {
	Holder  string `json:"holder"`
	Address string `json:"address"`
	// Resigned is true when the coordinator gave the role up.
	Resigned bool `json:"resigned"`
	// Epoch is the epoch of the store in which the role was acquired.
	Epoch int64 `json:"store_epoch,omitempty"`
}

// Holder competes for the coordinator role and keeps it while it can renew the
// lease.
type Holder struct {
	cfg Config

	mu sync.Mutex
	// token is the fencing token of the present tenure; 0 while there is none.
	token int64
	// lease is the store lease of the present tenure.
	lease int64
	// until is when the tenure ends unless it is renewed.
	until time.Time
	// actFrom is when any earlier coordinator has surely stopped acting.
	actFrom time.Time
	// epoch is the latest epoch of the store that a list has shown, and epochSince is when
	// it was first shown.
	epoch      int64
	epochSince time.Time
	// yieldUntil is until when this instance does not compete.
	yieldUntil time.Time

	cancel context.CancelFunc
	done   chan struct{}
}

// New starts competing for the coordinator role.
func New(cfg Config) *Holder {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Holder{cfg: cfg, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(h.done)
		h.run(ctx)
	}()
	return h
}

// Token returns the fencing token if this instance is the coordinator and may act
// now. It must be called right before each action.
func (h *Holder) Token() (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.cfg.Clock.Now()
	return h.token, h.token != 0 && now.Before(h.until) && !now.Before(h.actFrom)
}

// Tenure returns the token of the present tenure, even if the instance may not
// act yet; 0 while there is none.
func (h *Holder) Tenure() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.cfg.Clock.Now().Before(h.until) {
		return 0
	}
	return h.token
}

// IsCoordinator reports whether this instance is the coordinator, even if it may
// not act yet.
func (h *Holder) IsCoordinator() bool { return h.Tenure() != 0 }

// EndTenure ends the present tenure unless its token is higher, because another
// instance has become the coordinator. This instance does not act under the token or
// an earlier one any more. The other instance knows the token by the record of the
// last coordinator, whose revision is higher if the store was restored since.
func (h *Holder) EndTenure(token int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.token <= token {
		h.token = 0
	}
}

// yieldDuration is how long an instance that has yielded does not compete: long
// enough for any other to become the coordinator and to act.
const yieldDuration = 5 * time.Second

// Yield gives the coordinator role up and does not compete for yieldDuration (some
// seconds), because another instance may reach servers that this one cannot.
func (h *Holder) Yield() {
	h.mu.Lock()
	token, lease := h.token, h.lease
	h.token = 0
	h.yieldUntil = h.cfg.Clock.Now().Add(yieldDuration)
	h.mu.Unlock()
	if token == 0 {
		return
	}
	h.cfg.Log.WithField("token", token).Warn("holder: coordinator role is left to another instance")
	if err := h.resign(lease, token); err != nil {
		h.cfg.Log.WithError(err).Info("holder: coordinator lease was not deleted; it expires by itself")
	}
}

func (h *Holder) hasYielded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cfg.Clock.Now().Before(h.yieldUntil)
}

// Done returns a channel that is closed when the holder has stopped competing.
func (h *Holder) Done() <-chan struct{} { return h.done }

// Close stops competing and gives the coordinator role up.
func (h *Holder) Close() {
	h.cancel()
	<-h.done
	h.mu.Lock()
	token, lease := h.token, h.lease
	h.token = 0
	h.mu.Unlock()
	if token == 0 {
		return
	}
	if err := h.resign(lease, token); err != nil {
		h.cfg.Log.WithError(err).Info("holder: coordinator lease was not deleted; it expires by itself")
	}
}

// resign records that this instance gave the role up and deletes the key of the
// lease, if it still has it.
func (h *Holder) resign(lease, token int64) error {
	ctx := context.Background()
	value, err := json.Marshal(record{Holder: h.cfg.Name, Address: h.cfg.Address, Resigned: true, Epoch: storer.Epoch(token)})
	if err != nil {
		return err
	}
	live, ok, err := h.cfg.Store.Get(ctx, liveKey)
	if err != nil {
		return err
	}
	if !ok || live.Lease != lease || string(live.Value) != h.cfg.Name {
		return nil
	}
	_, err = h.cfg.Store.Commit(ctx, storer.Transaction{}.
		WithUnchanged(liveKey, live.ModRevision).WithDelete(liveKey).WithPut(recordKey, value))
	return err
}

func (h *Holder) run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := h.cfg.CampaignInterval()
		wait := interval*3/4 + rand.N(interval/2)
		h.endLapsedTenure()
		if h.IsCoordinator() {
			h.renew(ctx)
			wait = renewInterval
		} else if h.hasYielded() {
			wait = renewInterval
		} else if err := h.campaign(ctx); err != nil {
			h.cfg.Log.WithError(err).Debug("holder: campaign failed")
		} else if h.IsCoordinator() {
			wait = renewInterval
		}
		select {
		case <-h.cfg.Clock.After(wait):
		case <-ctx.Done():
		}
	}
}

// endLapsedTenure ends a tenure whose lease was not renewed in time.
func (h *Holder) endLapsedTenure() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.token == 0 || h.cfg.Clock.Now().Before(h.until) {
		return
	}
	h.cfg.Log.WithField("token", h.token).Warn("holder: lease was not renewed in time; this instance is no longer the coordinator")
	h.token = 0
}

// renew renews the lease. A failed call changes nothing: the tenure ends by the
// clock unless a later renewal succeeds.
func (h *Holder) renew(ctx context.Context) {
	h.mu.Lock()
	token, lease := h.token, h.lease
	h.mu.Unlock()
	began := h.cfg.Clock.Now()
	_, err := h.cfg.Store.KeepAlive(ctx, lease)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.token != token:
	case err == nil:
		h.until = began.Add(leaseTTL - leaseMargin)
	case errors.Is(err, storer.ErrLeaseNotFound):
		h.token = 0
		h.cfg.Log.WithField("token", token).Warn("holder: lease has expired; this instance is no longer the coordinator")
	default:
		h.cfg.Log.WithError(err).WithFields(logrus.Fields{"token": token, "left": h.until.Sub(h.cfg.Clock.Now()).String()}).
			Info("holder: lease was not renewed")
	}
}

// campaign acquires the coordinator role if it is free.
func (h *Holder) campaign(ctx context.Context) error {
	free, err := h.isFree(ctx)
	if err != nil || !free {
		return err
	}
	select {
	case <-h.cfg.Clock.After(rand.N(campaignJitter)):
	case <-ctx.Done():
		return ctx.Err()
	}
	return h.tryAcquire(ctx)
}

// isFree reports whether there is no coordinator, by a stale read, which is
// cheaper. The transaction of a later claim checks it again.
func (h *Holder) isFree(ctx context.Context) (bool, error) {
	list := h.cfg.Store.List
	if stale, ok := h.cfg.Store.(storer.StaleLister); ok {
		list = stale.ListStale
	}
	entries, revision, err := list(ctx, liveKey)
	if err == nil {
		h.recordEpoch(storer.Epoch(revision))
	}
	return len(entries) == 0, err
}

// recordEpoch records that a list has shown the epoch.
func (h *Holder) recordEpoch(epoch int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.epochSince.IsZero() || epoch > h.epoch {
		h.epoch, h.epochSince = epoch, h.cfg.Clock.Now()
	}
}

// readKeys returns the record of the last coordinator, empty if there is none, the
// epoch of the store, and whether the role is free now. Of many instances that saw it
// free by a stale read, only the first ones still find it free here and go on.
func (h *Holder) readKeys(ctx context.Context) (last storer.Entry, epoch int64, free bool, err error) {
	entries, revision, err := h.cfg.Store.List(ctx, keyPrefix)
	if err != nil {
		return last, 0, false, err
	}
	h.recordEpoch(storer.Epoch(revision))
	free = true
	for _, e := range entries {
		switch e.Key {
		case liveKey:
			free = false
		case recordKey:
			last = e
		}
	}
	return last, storer.Epoch(revision), free, nil
}

// tryAcquire acquires the coordinator role if it is still free.
func (h *Holder) tryAcquire(ctx context.Context) error {
	last, epoch, free, err := h.readKeys(ctx)
	if err != nil || !free {
		return err
	}
	began := h.cfg.Clock.Now()
	lease, err := h.cfg.Store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(record{Holder: h.cfg.Name, Address: h.cfg.Address, Epoch: epoch})
	if err != nil {
		return err
	}
	// A transaction whose response is lost is not repeated: if it took effect, its
	// lease expires unused.
	result, err := h.cfg.Store.Commit(ctx, storer.Transaction{}.
		WithAbsent(liveKey).WithUnchanged(recordKey, last.ModRevision).
		WithLeasedPut(liveKey, []byte(h.cfg.Name), lease).WithPut(recordKey, value))
	if err != nil || !result.Succeeded {
		if err := h.cfg.Store.Revoke(ctx, lease); err != nil {
			h.cfg.Log.WithError(err).Debug("holder: lease of a failed claim was not revoked; it expires by itself")
		}
		return err
	}
	h.beginTenure(ctx, last, lease, result.Revision, began)
	return nil
}

// beginTenure starts a tenure, in which this instance acts only when the last
// tenure has surely ended and the primary leases granted in it have expired.
func (h *Holder) beginTenure(ctx context.Context, last storer.Entry, lease, token int64, began time.Time) {
	h.mu.Lock()
	h.token, h.lease = token, lease
	h.until = began.Add(leaseTTL - leaseMargin)
	h.actFrom = h.cfg.Clock.Now().Add(leaseTTL + PrimaryLeaseTTL)
	h.mu.Unlock()
	ended, known := h.hasLastTenureEnded(ctx, last, storer.Epoch(token))
	h.mu.Lock()
	defer h.mu.Unlock()
	switch now := h.cfg.Clock.Now(); {
	case ended:
		h.actFrom = now.Add(PrimaryLeaseTTL)
	case !known:
		// The last tenure was renewed for the last time before the present epoch began.
		h.actFrom = later(now, h.epochSince.Add(leaseTTL+PrimaryLeaseTTL))
	}
	h.cfg.Log.WithFields(logrus.Fields{
		"token": token, "lease": lease, "last_has_ended": ended, "last_is_known": known,
		"last_record_revision": storer.FormatRevision(last.ModRevision), "acts_in": h.actFrom.Sub(h.cfg.Clock.Now()).String(),
	}).Info("holder: instance holds the duty")
}

// hasLastTenureEnded reports whether the last coordinator surely does not act. Known is
// false without a record of the store's present epoch: a store that was restored from a
// copy has lost the later records, and the last tenure is of an earlier epoch.
func (h *Holder) hasLastTenureEnded(ctx context.Context, last storer.Entry, epoch int64) (ended, known bool) {
	if last.Key == "" {
		return false, false
	}
	var r record
	if err := json.Unmarshal(last.Value, &r); err != nil {
		h.cfg.Log.WithError(err).Warn("holder: record of the last coordinator cannot be decoded")
		return false, true
	}
	switch {
	case r.Epoch == 0 && epoch != 0:
		// An instance of an earlier version of the program wrote it, in any epoch.
		return false, true
	case r.Epoch != epoch:
		return false, false
	}
	// An earlier tenure of this instance has ended: its process begins the next one.
	return r.Resigned || r.Holder == h.cfg.Name || h.cfg.EndTenure(ctx, r.Address, last.ModRevision), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
