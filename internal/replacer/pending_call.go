package replacer

import (
	"errors"
	"time"
)

// ErrRefused means that the platform has refused to promote a server or has not received the
// call, so that the call has no effect. After any other error it may take effect.
var ErrRefused = errors.New("the platform has not accepted the promotion")

// callEffectLimit is how long after its end a call to the platform is expected to take effect.
// The platform's promotions take some hundred ms (300 to 600). A service without a
// primary waits for this time, so it is shorter than [attester.SettleLimit], which only leases
// and the proofs of commits wait for.
const callEffectLimit = time.Second

// pendingCall is the last call to the platform that may still take effect.
type pendingCall struct {
	// id is the server; empty if it is not known.
	id string
	// ended is when the call ended; zero if there was none.
	ended time.Time
	// calls is how many calls for the server may take effect. Only the first one to do so
	// changes anything as long as the server leads.
	calls int
}

// recordPendingCall records the end of a call for the server.
func (t *task) recordPendingCall(id string, err error) {
	if errors.Is(err, ErrRefused) {
		return
	}
	t.leaseMu.Lock()
	defer t.leaseMu.Unlock()
	calls := 1
	if t.pending.id == id && t.cfg.Clock.Since(t.pending.ended) < callEffectLimit {
		calls = t.pending.calls + 1
	}
	t.pending = pendingCall{id, t.cfg.Clock.Now(), calls}
}

// recordEarlierCall records that the last coordinator may have called for the server, which
// is empty if it is not known, right before the present tenure began.
func (t *task) recordEarlierCall(id string) {
	t.leaseMu.Lock()
	defer t.leaseMu.Unlock()
	if t.tenureSince.After(t.pending.ended) {
		t.pending = pendingCall{id, t.tenureSince, 1}
	}
}

// forgetPendingCall records that the server leads. Further calls for it change nothing until
// it steps down.
func (t *task) forgetPendingCall(id string) {
	t.leaseMu.Lock()
	defer t.leaseMu.Unlock()
	if t.pending.id == id && t.pending.calls == 1 {
		t.pending = pendingCall{}
	}
}

// mayAnotherLead reports whether a call for another server than this one may take effect:
// its commits would be lost with a second promotion.
func (t *task) mayAnotherLead(id string) bool {
	t.leaseMu.Lock()
	defer t.leaseMu.Unlock()
	return t.mayAnotherLeadLocked(id)
}

// mayAnotherLeadLocked is mayAnotherLead for a caller that holds leaseMu.
func (t *task) mayAnotherLeadLocked(id string) bool {
	p := t.pending
	return !p.ended.IsZero() && p.id != id && t.cfg.Clock.Since(p.ended) < callEffectLimit
}
