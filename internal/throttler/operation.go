package throttler

import "time"

// Operation is an admitted operation. Its first Done or Refund counts. The zero value
// stands for an operation without a quota.
type Operation struct{ *admission }

// admission is the token of an operation that has not ended.
type admission struct {
	link    *link
	account *account
	// expires is zero if the token is from the reserve.
	expires time.Time
	// beginBefore is until when the operation may begin at a server.
	beginBefore time.Time
	ended       bool
}

// IsExpired reports whether the operation must not begin any more: its token counts as used or
// is given out again.
func (o Operation) IsExpired() bool {
	return o.admission != nil && !o.link.t.cfg.Clock.Now().Before(o.beginBefore)
}

// Done records that the operation has run or may have.
func (o Operation) Done() { o.end(false) }

// Refund gives the operation back to the team's quota because it has not run.
func (o Operation) Refund() { o.end(true) }

func (a *admission) end(refund bool) {
	if a == nil {
		return
	}
	a.link.mu.Lock()
	defer a.link.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	now := a.link.t.cfg.Clock.Now()
	if a.expires.IsZero() {
		if refund {
			a.account.putReserve()
		}
		return
	}
	if a.account.end(a.expires, now) && refund {
		a.account.put(lot{tokens: 1, expires: a.expires}, now)
	}
}
