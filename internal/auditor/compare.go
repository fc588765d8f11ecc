package auditor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"marigoldhub.example/hub/internal/informer"
)

// Change is one thing in which two configurations differ.
type Change struct {
	// Entry names the entry, such as `team "kiosks"`.
	Entry string `json:"entry"`
	Text  string `json:"text"`
}

// String returns the change as a line for operators.
func (c Change) String() string { return c.Entry + ": " + c.Text }

// Compare returns what the next configuration changes against the one in force, and
// findings about the step from one to the other.
func Compare(inForce, next *informer.Configuration) (changes []Change, _ []Finding) {
	var fs findings
	if next.Version <= inForce.Version {
		fs.errorf("version", "%d is not above %d, which is in force: instances keep the latter", next.Version, inForce.Version)
	}
	d := differ{}
	compareMaps(&d, inForce.Routes, next.Routes, RouteEntry, d.compareRoutes)
	compareMaps(&d, inForce.Services, next.Services, ServiceEntry, d.compareServices)
	switch {
	case !inForce.HasTeams() && next.HasTeams():
		d.add("teams", "callers of routes that are not public need keys from now on")
	case inForce.HasTeams() && !next.HasTeams():
		d.add("teams", "callers need no keys any more, and have no quotas")
		fs.warnf("teams", "all teams go: every caller may use every route")
	}
	compareMaps(&d, inForce.Teams, next.Teams, TeamEntry, d.compareTeams)
	d.duration("limits", "time for which a transaction may be idle", inForce.IdleInTransaction, next.IdleInTransaction)
	for _, name := range slices.Sorted(maps.Keys(inForce.Services)) {
		if _, stays := next.Services[name]; !stays {
			fs.warnf(ServiceEntry(name), "is removed; its servers get no requests")
		}
	}
	return d.changes, Sort(fs)
}

// differ collects the differences.
type differ struct{ changes []Change }

func (d *differ) add(entry, format string, args ...any) {
	d.changes = append(d.changes, Change{entry, fmt.Sprintf(format, args...)})
}

// compareMaps compares the entries of two maps, in order of their names. An entry that is
// only in one of them is compared with the zero value.
func compareMaps[V any](d *differ, before, after map[string]V, entry func(name string) string, compare func(entry string, before, after V)) {
	names := maps.Clone(before)
	if names == nil {
		names = map[string]V{}
	}
	maps.Copy(names, after)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		b, was := before[name]
		a, is := after[name]
		switch {
		case !was:
			d.add(entry(name), "added")
		case !is:
			d.add(entry(name), "removed")
		}
		compare(entry(name), b, a)
	}
}

func (d *differ) compareRoutes(entry string, before, after informer.Route) {
	if before.Database == "" || after.Database == "" {
		return
	}
	if before.Service != after.Service {
		d.add(entry, "service changes from %q to %q", before.Service, after.Service)
	}
	if before.Reads != after.Reads {
		d.add(entry, "reads change from %s to %s", before.Reads, after.Reads)
	}
	switch {
	case !before.Public && after.Public:
		d.add(entry, "becomes public: callers need no key")
	case before.Public && !after.Public:
		d.add(entry, "is no longer public: callers need a key")
	}
	d.duration(entry, "staleness bound", before.MaxStaleness, after.MaxStaleness)
	d.duration(entry, "time limit of a statement", before.StatementTimeout, after.StatementTimeout)
	d.duration(entry, "latency objective", before.Objective, after.Objective)
	number(d, entry, "priority number", before.Priority, after.Priority)
}

func (d *differ) compareServices(entry string, before, after informer.Service) {
	if before.Name == "" || after.Name == "" {
		return
	}
	number(d, entry, "connection limit", before.MaxConnections, after.MaxConnections)
	number(d, entry, "replicas that a commit waits for", before.SyncReplicas, after.SyncReplicas)
}

func (d *differ) compareTeams(entry string, before, after informer.Team) {
	for _, key := range fingerprints(after.Keys, before.Keys) {
		d.add(entry, "key %s added", key)
	}
	for _, key := range fingerprints(before.Keys, after.Keys) {
		d.add(entry, "key %s withdrawn", key)
	}
	if after.Name == "" {
		return
	}
	if before.Name == "" {
		d.add(entry, "quota %s", quota(after))
		return
	}
	switch change := compareRates(before.RatePerSecond, after.RatePerSecond); {
	case change > 0:
		d.add(entry, "quota raised from %s to %s", quota(before), quota(after))
	case change < 0:
		d.add(entry, "quota lowered from %s to %s", quota(before), quota(after))
	default:
		number(d, entry, "burst", before.Burst, after.Burst)
	}
	number(d, entry, "priority number", before.Priority, after.Priority)
}

// compareRates compares two rate limits, of which 0 is none.
func compareRates(before, after float64) int {
	switch {
	case before == after:
		return 0
	case before == 0:
		return -1
	case after == 0:
		return 1
	}
	return cmp.Compare(after, before)
}

func quota(t informer.Team) string {
	if t.RatePerSecond == 0 {
		return "none"
	}
	return fmt.Sprintf("%g a second with a burst of %g", t.RatePerSecond, t.Burst)
}

// fingerprints returns those of the keys that others does not contain, in order.
func fingerprints(keys, others []informer.KeyDigest) []string {
	var out []string
	for _, key := range keys {
		if !slices.Contains(others, key) {
			out = append(out, key.Fingerprint())
		}
	}
	slices.SortFunc(out, strings.Compare)
	return out
}

func (d *differ) duration(entry, what string, before, after time.Duration) {
	if c := cmp.Compare(after, before); c != 0 {
		d.add(entry, "%s %s from %s to %s", what, direction(c), before, after)
	}
}

func number[N int | float64](d *differ, entry, what string, before, after N) {
	if c := cmp.Compare(after, before); c != 0 {
		d.add(entry, "%s %s from %v to %v", what, direction(c), before, after)
	}
}

func direction(change int) string {
	if change > 0 {
		return "raised"
	}
	return "lowered"
}
