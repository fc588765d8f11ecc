package admitter

import (
	"errors"
	"time"
)

// maxTeams bounds the teams whose slot time is reported; that of further ones is added up
// under otherTeams.
const (
	maxTeams   = 256
	otherTeams = "other"
)

// Use is what the limiter did with its slots since the last call of [Limiter.TakeUse].
type Use struct {
	// SlotTime is the slot time of each team; empty without teams.
	SlotTime map[string]time.Duration
	// Late counts the requests that got a slot too late to be answered in time, behind
	// all of their priority for which there was time.
	Late int
	// TimedOut, Evicted and Left count the requests that stopped waiting without a slot:
	// at their deadline, for others with more use for a slot, or because their callers
	// left.
	TimedOut, Evicted, Left int
}

// use collects a [Use].
type use struct {
	Use
	// known are the teams that are reported by their names.
	known map[string]struct{}
}

func (u *use) addSlotTime(team string, took time.Duration) {
	if team == "" {
		return
	}
	if u.known == nil {
		u.known = map[string]struct{}{}
	}
	if _, ok := u.known[team]; !ok && len(u.known) >= maxTeams {
		team = otherTeams
	}
	u.known[team] = struct{}{}
	if u.SlotTime == nil {
		u.SlotTime = map[string]time.Duration{}
	}
	u.SlotTime[team] += took
}

// countEnd counts a request that stopped waiting without a slot.
func (u *use) countEnd(reason error) {
	switch {
	case errors.Is(reason, ErrEvicted):
		u.Evicted++
	case errors.Is(reason, ErrLeft):
		u.Left++
	default:
		u.TimedOut++
	}
}

// TakeUse returns the use since the last call.
func (l *Limiter) TakeUse() Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.use.Use
	l.use.Use = Use{}
	return out
}
