// Package clocker provides the clock of an instance whose machine may be suspended.
//
// Go's monotonic clock stops while a machine is suspended, and the time of day may
// jump. Ages of known state and ends of leases must include the time of suspension
// and must not jump, so they use the time since the machine booted.
package clocker

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Boot is a clock whose Now includes suspensions and never jumps. Its times have no
// relation to the time of day; only differences have a meaning. Its timers run on
// Go's monotonic clock.
type Boot struct{ clockwork.Clock }

// NewBoot returns the clock of the machine's time since boot.
func NewBoot() Boot { return Boot{clockwork.NewRealClock()} }

// Now implements [clockwork.Clock].
func (b Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock.
		panic("clocker: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Unix(ts.Unix())
}

// Since implements [clockwork.Clock].
func (b Boot) Since(t time.Time) time.Duration { return b.Now().Sub(t) }

// Until implements [clockwork.Clock].
func (b Boot) Until(t time.Time) time.Duration { return t.Sub(b.Now()) }
