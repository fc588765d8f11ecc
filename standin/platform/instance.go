package platform

import (
	"sync"
	"time"
)

// Instance is one entry of the platform's list.
type Instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Kind is "entry" or "server".
	Kind string `json:"kind"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// directory is the instance list with its publication lag.
type directory struct {
	mu       sync.Mutex
	lag      time.Duration
	versions []directoryVersion
}

type directoryVersion struct {
	at   time.Time
	list []Instance
}

func (d *directory) set(list []Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions = append(d.versions, directoryVersion{at: time.Now(), list: list})
}

func (d *directory) setLag(lag time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = lag
}

// published returns the newest list that is as old as the lag.
func (d *directory) published() []Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := time.Now().Add(-d.lag)
	for i := len(d.versions) - 1; i >= 0; i-- {
		if v := d.versions[i]; !v.at.After(limit) {
			return v.list
		}
	}
	return []Instance{}
}
