package registrar

import (
	"time"

	"marigoldhub.example/hub/internal/storer"
)

// carryOver has the instances of before the store was restored from a copy until they
// are listed again. The copy may lack the entries of instances that run; these register
// again with their next renewal.
type carryOver struct {
	epoch int64
	since time.Time
	// missing has the instances that no list of the epoch has shown as they were.
	missing map[string]Instance
}

// begin keeps the instances if a list of the revision is the first of a later epoch.
func (c *carryOver) begin(revision int64, instances []Instance, now time.Time) {
	epoch := storer.Epoch(revision)
	if epoch <= c.epoch {
		return
	}
	c.epoch, c.since, c.missing = epoch, now, map[string]Instance{}
	for _, o := range instances {
		c.missing[o.Name] = o
	}
}

// merge returns the listed instances and those that are missing, for the lifetime of an
// entry at most. An entry of the copy may be of an earlier start of an instance.
func (c *carryOver) merge(listed []Instance, now time.Time) []Instance {
	if now.Sub(c.since) >= leaseTime {
		c.missing = nil
	}
	var merged []Instance
	for _, o := range listed {
		if known, ok := c.missing[o.Name]; !ok || o.Incarnation >= known.Incarnation {
			delete(c.missing, o.Name)
			merged = append(merged, o)
		}
	}
	for _, o := range c.missing {
		merged = append(merged, o)
	}
	return merged
}
