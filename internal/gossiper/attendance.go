package gossiper

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// quietAfter is how long an instance may not ask for promises until it counts
	// as quiet: three of its questions are missing then.
	quietAfter = 350 * time.Millisecond
	// quietMemory is how long a quiet instance is told of: the list of instances
	// shows it by then.
	quietMemory = 10 * time.Second
	// blindAfter is how long nobody may ask before the holder takes itself for the
	// one that was cut off or frozen, and blindTime how long it then tells nothing.
	blindAfter = 200 * time.Millisecond
	blindTime  = time.Second
	// maxQuiet bounds a message while many instances are lost together.
	maxQuiet = 64
)

// Attendance is what the holder of the duty knows of the other instances'
// lives: each asks it for promises several times a second. It finds a machine
// that lost power before connections to it time out.
type Attendance struct {
	clock clockwork.Clock

	mu    sync.Mutex
	asked map[string]time.Time
	last  time.Time
	blind time.Time
}

// NewAttendance returns an empty attendance.
func NewAttendance(clock clockwork.Clock) *Attendance {
	return &Attendance{clock: clock, asked: map[string]time.Time{}}
}

// Note records that the instance asks.
func (a *Attendance) Note(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if now.Sub(a.last) > blindAfter {
		a.blind = now.Add(blindTime)
	}
	a.last, a.asked[name] = now, now
}

// Quiet returns the instances that have fallen silent lately, in order of their
// names.
func (a *Attendance) Quiet() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if now.Before(a.blind) {
		return nil
	}
	var names []string
	for name, at := range a.asked {
		switch age := now.Sub(at); {
		case age > quietMemory:
			delete(a.asked, name)
		case age > quietAfter:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), maxQuiet)]
}
