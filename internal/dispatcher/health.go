package dispatcher

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

// recordUnlisted records how a server that is not listed answered a probe. Any answer
// shows that it runs.
func (d *Dispatcher) recordUnlisted(id string, answered bool) {
	now := d.cfg.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.unlisted[id]
	h.probed = now
	if answered {
		h.RecordAnswer(now)
	} else {
		h.RecordFailure()
	}
	d.unlisted[id] = h
}

// keepHealth keeps the health of a server whose pool is closed because it is not listed.
// The caller holds mu.
func (d *Dispatcher) keepHealth(b *connector.Backend) {
	d.unlisted[b.ID] = unlistedHealth{Health: b.Health(), probed: d.cfg.Clock.Now()}
}

// forgetUnlisted drops the health of servers that are listed again or have not been
// probed for a while. The caller holds mu.
func (d *Dispatcher) forgetUnlisted(listed map[string]bool) {
	now := d.cfg.Clock.Now()
	maps.DeleteFunc(d.unlisted, func(id string, h unlistedHealth) bool {
		return listed[id] || now.Sub(h.probed) > unlistedHealthRetention
	})
}

// Health returns when the server last answered this instance, and how many
// attempts have failed since. Servers that are not listed are known by their probes and
// by what was known when they were last listed.
func (d *Dispatcher) Health(id string) (answered time.Time, failures int) {
	d.mu.RLock()
	b, h := d.backends[id], d.unlisted[id].Health
	d.mu.RUnlock()
	if b != nil {
		h = b.Health()
	}
	return h.Answered, h.Failures
}
