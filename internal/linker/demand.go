package linker

import (
	"math"
	"time"
)

const (
	// demandMemory is the time constant with which past requests of a user are
	// forgotten: long enough for an estimate of the teams that ask every few seconds.
	demandMemory = 10 * time.Second
	// minDemand is the weight below which a user is forgotten: a minute after its last
	// request if there was one.
	minDemand = 0.0025
)

// demand estimates how often each user asks for a connection. The zero demand is ready
// for use.
type demand struct{ byUser map[string]asked }

// asked is the number of a user's requests, weighted by their age, as of a time.
type asked struct {
	weight float64
	at     time.Time
}

func (a asked) weightAt(now time.Time) float64 {
	return a.weight * math.Exp(-float64(now.Sub(a.at))/float64(demandMemory))
}

// note counts a request of the user.
func (d *demand) note(user string, now time.Time) {
	if d.byUser == nil {
		d.byUser = map[string]asked{}
	}
	d.byUser[user] = asked{d.byUser[user].weightAt(now) + 1, now}
}

// interval returns the mean time between two requests of the user.
func (d *demand) interval(user string, now time.Time) time.Duration {
	w := d.byUser[user].weightAt(now)
	if w < minDemand {
		return never
	}
	return time.Duration(float64(demandMemory) / w)
}

// forget removes the users that have not asked for long.
func (d *demand) forget(now time.Time) {
	for user, a := range d.byUser {
		if a.weightAt(now) < minDemand {
			delete(d.byUser, user)
		}
	}
}
