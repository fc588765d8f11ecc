package reconciler

import (
	"maps"
	"time"

	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/observer"
)

// unlistedHealthRetention is how long the health of a server that is not listed is kept
// after its last probe. Package replacer probes such a server for 30 s.
const unlistedHealthRetention = time.Minute

// unlistedHealth is the health of a server without a pool.
type unlistedHealth struct {
	observer.Health
	probed time.Time
}

// RecordUnlisted records how a server that is not listed answered a probe. Any answer
// shows that it runs.
func (r *Reconciler) RecordUnlisted(id string, answered bool) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.unlisted[id]
	h.probed = now
	if answered {
		h.RecordAnswer(now)
	} else {
		h.RecordFailure()
	}
	r.unlisted[id] = h
}

// keepHealth keeps the health of a server whose pool is closed because it is not listed.
// The caller holds mu.
func (r *Reconciler) keepHealth(b *connector.Backend) {
	r.unlisted[b.ID] = unlistedHealth{Health: b.Health(), probed: r.cfg.Clock.Now()}
}

// forgetUnlisted drops the health of servers that are listed again or have not been
// probed for a while. The caller holds mu.
func (r *Reconciler) forgetUnlisted() {
	now := r.cfg.Clock.Now()
	maps.DeleteFunc(r.unlisted, func(id string, h unlistedHealth) bool {
		return r.backends[id] != nil || now.Sub(h.probed) > unlistedHealthRetention
	})
}

// Health returns when the server last answered this instance, and how many
// attempts have failed since. Servers that are not listed are known by their probes and
// by what was known when they were last listed.
func (r *Reconciler) Health(id string) (answered time.Time, failures int) {
	r.mu.RLock()
	b, h := r.backends[id], r.unlisted[id].Health
	r.mu.RUnlock()
	if b != nil {
		h = b.Health()
	}
	return h.Answered, h.Failures
}
