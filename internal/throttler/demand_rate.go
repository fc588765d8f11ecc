package throttler

import (
	"math"
	"time"
)

// demandPeriod is the time constant of the average of the demand.
const demandPeriod = time.Second

// demandRate is an exponentially decaying average of how many operations arrive in a
// second.
type demandRate struct {
	count float64
	at    time.Time
}

// add records an operation.
func (d *demandRate) add(now time.Time) {
	d.count, d.at = d.perSecond(now)*demandPeriod.Seconds()+1, now
}

// perSecond returns the average.
func (d *demandRate) perSecond(now time.Time) float64 {
	return d.count * math.Exp(-now.Sub(d.at).Seconds()/demandPeriod.Seconds()) / demandPeriod.Seconds()
}
