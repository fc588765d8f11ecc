package noder

import "time"

// maxAge is the greatest age that a message may have. It keeps ages from overflowing a duration.
const maxAge = time.Hour

// ageOf returns an age in microseconds for a message. It is never 0, which means none.
func ageOf(d time.Duration) uint64 { return uint64(max(d, 0).Microseconds()) + 1 }

// timeOf returns the time that lies the age of a response before it; asked is when it was
// requested, so that the time is not too late. It returns false without an age, and for a
// request, which may have been on its way for any time.
func timeOf(age uint64, asked time.Time) (time.Time, bool) {
	if asked.IsZero() || age == 0 || age > uint64(maxAge.Microseconds()) {
		return time.Time{}, false
	}
	return asked.Add(-time.Duration(age) * time.Microsecond), true
}
