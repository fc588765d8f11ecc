package gossiper

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// missingAfter is how long an instance may not ask for promises until it is
	// asked itself: two of its questions are missing then.
	missingAfter = 250 * time.Millisecond
	// confirmInterval separates two questions to an instance that is missing.
	confirmInterval = 250 * time.Millisecond
	// lostMemory is how long a lost instance is told of: the list of instances
	// shows it by then.
	lostMemory = 10 * time.Second
	// askedMemory is how recently others must have asked for an instance to count
	// as one that passes promises on.
	askedMemory = 200 * time.Millisecond
	// heardTime is how long counts what another instance says of lost ones.
	heardTime = 500 * time.Millisecond
	// maxLost bounds a message while many instances are lost together.
	maxLost = 64
)

// Attendance is what an instance knows of the lives of those that ask it for
// promises several times a second. One that stops asking is asked itself: it may
// only have found another to ask. Without an answer it counts as lost, long before
// connections to it time out. What is found goes up to the giver of the promises
// with the questions, and down to all with the answers.
type Attendance struct {
	clock clockwork.Clock

	mu      sync.Mutex
	askers  map[string]asker
	last    time.Time
	heardOf map[string]time.Time
}

// asker is an instance that asked for promises.
type asker struct {
	at time.Time
	// checked is when it was last asked itself; lost is true if it did not answer.
	checked time.Time
	lost    bool
}

// NewAttendance returns an empty attendance.
func NewAttendance(clock clockwork.Clock) *Attendance {
	return &Attendance{clock: clock, askers: map[string]asker{}, heardOf: map[string]time.Time{}}
}

// Note records that the instance asks.
func (a *Attendance) Note(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.last, a.askers[name] = now, asker{at: now}
}

// IsAsked reports whether others ask this instance now.
func (a *Attendance) IsAsked() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock.Since(a.last) < askedMemory
}

// Missing returns the instances that have to be asked whether they live.
func (a *Attendance) Missing() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	var names []string
	for name, k := range a.askers {
		switch {
		case now.Sub(k.at) > lostMemory:
			delete(a.askers, name)
		case now.Sub(k.at) > missingAfter && now.Sub(k.checked) > confirmInterval:
			k.checked = now
			a.askers[name] = k
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Checked records whether an instance that was missing has answered.
func (a *Attendance) Checked(name string, lives bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k, ok := a.askers[name]
	switch {
	case !ok || a.clock.Since(k.at) <= missingAfter:
	case lives:
		delete(a.askers, name)
	default:
		k.lost = true
		a.askers[name] = k
	}
}

// Found returns the instances that this one found lost, in order of their names.
func (a *Attendance) Found() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var names []string
	for name, k := range a.askers {
		if k.lost {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), maxLost)]
}

// Hear records which instances another one has found lost.
func (a *Attendance) Hear(names []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range names {
		a.heardOf[name] = a.clock.Now()
	}
}

// Lost returns the instances that were found lost by this one or others.
func (a *Attendance) Lost() []string {
	names := a.Found()
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, at := range a.heardOf {
		if a.clock.Since(at) > heardTime {
			delete(a.heardOf, name)
		} else if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), maxLost)]
}
