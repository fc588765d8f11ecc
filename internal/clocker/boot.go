// Package clocker provides the clock of an instance whose machine may be
// suspended.
//
// The steady clock of Go stops while a machine is suspended, and the time of
// day jumps. Ages of beliefs and ends of leases must count both, so they use
// the time since the machine started.
package clocker

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Boot is a clock whose Now counts suspensions and never jumps. Its times have
// no relation to the time of day; only differences have a meaning. Timers run
// on the steady clock.
type Boot struct{ clockwork.Clock }

// NewBoot returns the machine's clock.
func NewBoot() Boot { return Boot{clockwork.NewRealClock()} }

// Now implements [clockwork.Clock].
func (b Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists in every supported kernel.
		panic("clocker: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Unix(ts.Unix())
}

// Since implements [clockwork.Clock].
func (b Boot) Since(t time.Time) time.Duration { return b.Now().Sub(t) }

// Until implements [clockwork.Clock].
func (b Boot) Until(t time.Time) time.Duration { return t.Sub(b.Now()) }
