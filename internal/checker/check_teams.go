package checker

import (
	"fmt"

	"marigoldhub.example/hub/internal/informer"
)

// maxTeamKeys bounds the keys of a team. One key that is in use and one that replaces it
// are needed; more are for members that replace theirs at different times.
const maxTeamKeys = 16

const (
	// minTeamRate is one operation in a hundred seconds. A smaller rate is more likely a
	// mistake of the unit.
	minTeamRate = 0.01
	// maxTeamRate bounds the rate and the burst. It is far above what instances serve for one
	// team.
	maxTeamRate = 1_000_000
)

func (c *manifestChecker) checkTeams() {
	names, keys := firstUses{}, firstUses{}
	for i, team := range c.manifest.Teams {
		key := fmt.Sprintf("team[%d]", i)
		c.checkName(key+".name", team.Name, namePattern)
		c.checkUnique(names, key+".name", team.Name)
		c.checkCallerGroups(key+".groups", team.Groups)
		c.checkTeamKeys(key+".keys", team.Keys, keys)
		c.checkCallerLimits(key, team.ConnectionLimit, team.PinnedLimit)
		c.checkQuota(key, team)
	}
}

// checkQuota checks a team's rate and burst. A rate of 0 is refused because it could mean
// that the team has no limit or that it may run nothing.
func (c *manifestChecker) checkQuota(key string, t Team) {
	rate, burst := key+".rate_per_second", key+".burst"
	// The conditions are false for NaN, too.
	if c.HasValue(rate) && !(t.RatePerSecond >= minTeamRate && t.RatePerSecond <= maxTeamRate) {
		c.Add(rate, "%v is out of range, must be from %v to %v; without the key the team has no limit", t.RatePerSecond, minTeamRate, maxTeamRate)
	}
	if c.HasValue(burst) && !(t.Burst >= 0 && t.Burst <= maxTeamRate) {
		c.Add(burst, "%v is out of range, must be from 0 to %v", t.Burst, maxTeamRate)
	}
	if c.Has(burst) && !c.Has(rate) {
		c.Add(burst, "has no effect without rate_per_second")
	}
}

// checkTeamKeys checks the digests of a team's keys. A team without keys is valid: all
// of them have been withdrawn. No finding contains the text, which may be a key that was
// written in place of its digest.
func (c *manifestChecker) checkTeamKeys(key string, digests []string, seen firstUses) {
	if !c.Require(key) || c.hasFinding(key) {
		return
	}
	if len(digests) > maxTeamKeys {
		c.Add(key, "has %d keys; at most %d are supported", len(digests), maxTeamKeys)
	}
	for i, text := range digests {
		key := fmt.Sprintf("%s[%d]", key, i)
		var d informer.KeyDigest
		if err := d.UnmarshalText([]byte(text)); err != nil {
			c.Add(key, "is not a digest; marigoldctl teamkey prints it: %s", err)
			continue
		}
		if text != d.String() {
			c.Add(key, "must have lower-case digits")
			continue
		}
		if first, ok := seen[text]; ok {
			c.Add(key, "key %s is used twice, first in line %d", d.Fingerprint(), c.keys.position(first).Line)
			continue
		}
		seen[text] = key
	}
}
