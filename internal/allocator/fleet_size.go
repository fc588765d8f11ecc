package allocator

import "time"

// fleetSizeRetention is how long a larger number of instances counts after it was last
// seen. An instance that is missing from the list because it is cut off from the store
// still serves callers.
const fleetSizeRetention = 10 * time.Second

// FleetSize is the largest number of instances that was observed recently. The zero value
// has observed none.
type FleetSize struct {
	size int
	at   time.Time
}

// Observe adds an observation and returns the size.
func (f *FleetSize) Observe(n int, now time.Time) int {
	if n >= f.size || now.Sub(f.at) > fleetSizeRetention {
		f.size, f.at = n, now
	}
	return f.size
}
