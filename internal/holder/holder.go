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
	// leaseTTL is the longest time in which two instances could believe that
	// they hold the duty. A shorter one would end during a brief outage of the
	// store; a longer one delays a change of primary after a holder's death.
	leaseTTL = 1500 * time.Millisecond
	// leaseMargin is kept before the end of a lease for the time of a call.
	leaseMargin = 250 * time.Millisecond
	// renewInterval costs a tenth of a read each.
	renewInterval = 350 * time.Millisecond
	// PrimaryLeaseTTL is how long a holder promises at a time that no primary
	// changes. A new holder waits it out besides the last tenure.
	PrimaryLeaseTTL = 300 * time.Millisecond
	// CampaignInterval is how often each of a few instances looks whether the duty is
	// free.
	CampaignInterval = 700 * time.Millisecond
	// campaignJitter spreads the attempts to take a free duty.
	campaignJitter = 200 * time.Millisecond
)

// Config holds what a [Holder] needs.
type Config struct {
	Store storer.Store
	// Name is this instance; Address is where others ask it about the duty.
	Name, Address string
	// EndTenure asks the last holder whether it has stopped acting under the
	// token. It returns false when there is no proof.
	EndTenure func(ctx context.Context, address string, token int64) bool
	// CampaignInterval returns the pause between two looks whether the duty is free.
	CampaignInterval func() time.Duration
	Clock            clockwork.Clock
	Log              logrus.FieldLogger
}

// record is the last holder.
type record struct {
	Holder  string `json:"holder"`
	Address string `json:"address"`
	// Resigned is true when the holder gave the duty up.
	Resigned bool `json:"resigned"`
}

// Holder competes for the duty.
type Holder struct {
	cfg Config

	mu sync.Mutex
	// token is the token of the present tenure; 0 while there is none.
	token   int64
	lease   int64
	until   time.Time
	actFrom time.Time
	// yieldUntil is until when this instance leaves the duty to others.
	yieldUntil time.Time

	cancel context.CancelFunc
	done   chan struct{}
}

// New starts competing.
func New(cfg Config) *Holder {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Holder{cfg: cfg, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(h.done)
		h.run(ctx)
	}()
	return h
}

// Token returns the fencing token while this instance holds the duty and may
// act. It must be called right before each action.
func (h *Holder) Token() (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.cfg.Clock.Now()
	return h.token, h.token != 0 && now.Before(h.until) && !now.Before(h.actFrom)
}

// Tenure returns the token of the present tenure, acting or not; 0 while there
// is none.
func (h *Holder) Tenure() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.cfg.Clock.Now().Before(h.until) {
		return 0
	}
	return h.token
}

// IsCoordinator reports whether this instance holds the duty, be it that it may
// not act yet.
func (h *Holder) IsCoordinator() bool { return h.Tenure() != 0 }

// EndTenure ends the tenure with the token, if it lasts, because another instance
// has the duty, and reports that this instance does not act under it.
func (h *Holder) EndTenure(token int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.token == token {
		h.token = 0
	}
}

// yieldDuration is how long an instance that has yielded does not compete: long
// enough for any other to take the duty and to act.
const yieldDuration = 5 * time.Second

// Yield gives the duty up because this instance cannot do what is due; another
// may reach what it cannot.
func (h *Holder) Yield() {
	h.mu.Lock()
	token, lease := h.token, h.lease
	h.token = 0
	h.yieldUntil = h.cfg.Clock.Now().Add(yieldDuration)
	h.mu.Unlock()
	if token == 0 {
		return
	}
	h.cfg.Log.WithField("token", token).Warn("holder: duty is left to another instance")
	if err := h.resign(lease); err != nil {
		h.cfg.Log.WithError(err).Info("holder: duty was not given up; it lapses by itself")
	}
}

func (h *Holder) hasYielded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cfg.Clock.Now().Before(h.yieldUntil)
}

// Done returns a channel that is closed when the holder has stopped.
func (h *Holder) Done() <-chan struct{} { return h.done }

// Close gives the duty up.
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
	if err := h.resign(lease); err != nil {
		h.cfg.Log.WithError(err).Info("holder: duty was not given up; it lapses by itself")
	}
}

func (h *Holder) resign(lease int64) error {
	ctx := context.Background()
	value, err := json.Marshal(record{Holder: h.cfg.Name, Address: h.cfg.Address, Resigned: true})
	if err != nil {
		return err
	}
	live, ok, err := h.cfg.Store.Get(ctx, liveKey)
	if err != nil {
		return err
	}
	if !ok || live.Lease != lease {
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
		if h.IsCoordinator() {
			h.renew(ctx)
			wait = renewInterval
		} else if h.hasYielded() {
			wait = renewInterval
		} else if err := h.campaign(ctx); err != nil {
			h.cfg.Log.WithError(err).Debug("holder: store is out of reach")
		}
		select {
		case <-h.cfg.Clock.After(wait):
		case <-ctx.Done():
		}
	}
}

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
		h.cfg.Log.WithField("token", token).Warn("holder: lease has ended; the duty is lost")
	default:
		h.cfg.Log.WithError(err).WithFields(logrus.Fields{"token": token, "left": h.until.Sub(h.cfg.Clock.Now()).String()}).
			Info("holder: lease was not renewed")
	}
}

// campaign takes the duty if it is free.
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

// isFree uses an answer from the past: a claim is checked by the store.
func (h *Holder) isFree(ctx context.Context) (bool, error) {
	list := h.cfg.Store.List
	if stale, ok := h.cfg.Store.(storer.StaleLister); ok {
		list = stale.ListStale
	}
	entries, _, err := list(ctx, liveKey)
	return len(entries) == 0, err
}

// readKeys returns the record of the last holder and whether the duty is free now.
// Of many instances that saw it free a moment ago only the first ones go on.
func (h *Holder) readKeys(ctx context.Context) (last storer.Entry, known, free bool, err error) {
	entries, _, err := h.cfg.Store.List(ctx, keyPrefix)
	if err != nil {
		return last, false, false, err
	}
	free = true
	for _, e := range entries {
		switch e.Key {
		case liveKey:
			free = false
		case recordKey:
			last, known = e, true
		}
	}
	return last, known, free, nil
}

func (h *Holder) tryAcquire(ctx context.Context) error {
	last, known, free, err := h.readKeys(ctx)
	if err != nil || !free {
		return err
	}
	began := h.cfg.Clock.Now()
	lease, err := h.cfg.Store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(record{Holder: h.cfg.Name, Address: h.cfg.Address})
	if err != nil {
		return err
	}
	// A transaction whose answer is lost is not tried again: if it took effect,
	// its lease ends unused.
	result, err := h.cfg.Store.Commit(ctx, storer.Transaction{}.
		WithAbsent(liveKey).WithUnchanged(recordKey, last.ModRevision).
		WithLeasedPut(liveKey, []byte(h.cfg.Name), lease).WithPut(recordKey, value))
	if err != nil || !result.Succeeded {
		if err := h.cfg.Store.Revoke(ctx, lease); err != nil {
			h.cfg.Log.WithError(err).Debug("holder: lease of a failed claim was not ended; it ends by itself")
		}
		return err
	}
	h.beginTenure(ctx, last, known, lease, result.Revision, began)
	return nil
}

// beginTenure starts a tenure. It may act only when the last one has surely ended.
func (h *Holder) beginTenure(ctx context.Context, last storer.Entry, known bool, lease, token int64, began time.Time) {
	acquired := h.cfg.Clock.Now()
	h.mu.Lock()
	h.token, h.lease = token, lease
	h.until = began.Add(leaseTTL - leaseMargin)
	h.actFrom = acquired.Add(leaseTTL + PrimaryLeaseTTL)
	h.mu.Unlock()
	ended := !known || h.hasLastTenureEnded(ctx, last)
	acquired = h.cfg.Clock.Now()
	h.cfg.Log.WithFields(logrus.Fields{"token": token, "last_has_ended": ended}).Info("holder: instance holds the duty")
	if ended {
		h.mu.Lock()
		h.actFrom = acquired.Add(PrimaryLeaseTTL)
		h.mu.Unlock()
	}
}

func (h *Holder) hasLastTenureEnded(ctx context.Context, last storer.Entry) bool {
	var r record
	if err := json.Unmarshal(last.Value, &r); err != nil {
		h.cfg.Log.WithError(err).Warn("holder: record of the last holder cannot be read")
		return false
	}
	// An own earlier tenure has ended: this process begins the next one.
	return r.Resigned || r.Holder == h.cfg.Name || h.cfg.EndTenure(ctx, r.Address, last.ModRevision)
}
