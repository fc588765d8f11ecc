package authenticator

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/prover"
)

var (
	// ErrDenied means that no team holds the caller's key.
	ErrDenied = errors.New("the key belongs to no team")
	// ErrNotCurrent means that this instance cannot tell at present whether a team still
	// holds the key.
	ErrNotCurrent = errors.New("the configuration is not known to be current; nothing ran, retry later")
)

// Config holds what an [Authenticator] needs.
type Config struct {
	Informer *informer.Informer
	// RevocationLimit is how long after its withdrawal a key may still be accepted, also
	// by an instance that is cut off from the store. 0 means no such limit.
	RevocationLimit time.Duration
	Clock           clockwork.Clock
	Metrics         metrics.Registry
	Log             logrus.FieldLogger
}

// Authenticator identifies callers.
type Authenticator struct {
	cfg Config
	// denied and notCurrent count refused sessions and statements, identified the
	// sessions of each team.
	denied, notCurrent metrics.Counter
	deniedOf           teamCounters
	identified         teamCounters
	// isStale is true from the first refusal for lack of a proof until a proof arrives.
	isStale atomic.Bool
}

// New returns an authenticator.
func New(cfg Config) *Authenticator {
	a := &Authenticator{
		cfg:        cfg,
		denied:     metrics.GetOrRegisterCounter("authenticator.denied", cfg.Metrics),
		notCurrent: metrics.GetOrRegisterCounter("authenticator.not_current", cfg.Metrics),
		deniedOf:   teamCounters{prefix: "authenticator.denied.", registry: cfg.Metrics},
		identified: teamCounters{prefix: "authenticator.sessions.", registry: cfg.Metrics},
	}
	if cfg.RevocationLimit > 0 {
		cfg.Metrics.GetOrRegister("authenticator.proof_age_ms", metrics.NewFunctionalGauge(a.proofAge))
	}
	return a
}

// proofAge returns the age of the proof in milliseconds; -1 if there is none.
func (a *Authenticator) proofAge() int64 {
	p := a.cfg.Informer.Current().Proof
	if p.IsZero() {
		return -1
	}
	return a.cfg.Clock.Since(p.At).Milliseconds()
}

// Identify returns who the caller is that sent the key, which was received at the time.
func (a *Authenticator) Identify(route informer.Route, key string, received time.Time) (Identity, error) {
	id, err := a.Check(Identity{key: informer.DigestKey(key)}, route, received)
	if err == nil && id.Team != "" {
		a.identified.of(id.Team).Inc(1)
	}
	return id, err
}

// Check returns who the caller is if it may run a statement that was received at the time.
// Its team is another one than before if the key was given to another team.
func (a *Authenticator) Check(id Identity, route informer.Route, received time.Time) (Identity, error) {
	c := a.cfg.Informer.Current()
	team, err := decide(c, id.key, route, received, a.cfg.RevocationLimit)
	switch err {
	case ErrDenied:
		a.denied.Inc(1)
		if id.Team != "" {
			a.deniedOf.of(id.Team).Inc(1)
		}
	case ErrNotCurrent:
		a.notCurrent.Inc(1)
	}
	if !route.Public {
		a.logStale(c, err, received)
	}
	return id.withTeam(team), err
}

// IsWithdrawn reports whether the caller must have a key and no team holds it any more.
func (a *Authenticator) IsWithdrawn(id Identity, route informer.Route) bool {
	c := a.cfg.Informer.Current().Configuration
	if c == nil || !c.HasTeams() || route.Public {
		return false
	}
	_, held := c.TeamsByKey[id.key]
	return !held
}

// logStale logs when callers begin to be refused for lack of a proof, and the end.
func (a *Authenticator) logStale(c informer.Current, err error, received time.Time) {
	stale := err == ErrNotCurrent
	if a.isStale.Load() == stale || !a.isStale.CompareAndSwap(!stale, stale) {
		return
	}
	if !stale {
		a.cfg.Log.WithField("version", c.Configuration.Version).Info("authenticator: configuration is known to be current again")
		return
	}
	fields := logrus.Fields{"version": c.Configuration.Version, "limit": a.cfg.RevocationLimit.String(), "proof_age": "none"}
	if !c.Proof.IsZero() {
		fields["proof_age"] = received.Sub(c.Proof.At).String()
	}
	a.cfg.Log.WithFields(fields).Warn("authenticator: configuration is not known to be current; callers with keys are refused")
}

// clockMargin is the n-th part of the limit by which a proof ends sooner, because the
// clocks of instances that pass proofs on may run at different rates.
const clockMargin = 100

// decide returns the team of a caller with the key whose message was received at the time.
// A public route admits everybody, callers whose key no team holds without a team.
func decide(c informer.Current, key informer.KeyDigest, route informer.Route, received time.Time, limit time.Duration) (team string, err error) {
	if c.Configuration == nil || !c.Configuration.HasTeams() {
		return "", nil
	}
	team, held := c.Configuration.TeamsByKey[key]
	switch {
	case route.Public:
		return team, nil
	case limit > 0 && !isFresh(c.Proof, received, limit-limit/clockMargin):
		return "", ErrNotCurrent
	case !held:
		return "", ErrDenied
	}
	return team, nil
}

// isFresh reports whether the proof was of an age below the limit at the time.
func isFresh(p prover.Proof, at time.Time, limit time.Duration) bool {
	return !p.IsZero() && at.Sub(p.At) < limit
}
