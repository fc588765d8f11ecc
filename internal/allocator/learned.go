package allocator

import (
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/messenger/wire"
)

const (
	// maxQuota bounds the numbers of a quota in a request.
	maxQuota = 1e9
	// maxLearned bounds the teams with quotas from requests.
	maxLearned = 1 << 12
)

// learnedQuota is a team's quota by a configuration that a member has and this instance does not
// have yet.
type learnedQuota struct {
	Quota
	version int64
	// at is when a request last told it.
	at time.Time
}

// counts reports whether the quota is newer than those of this instance's configuration, and is
// told by requests still. An instance that has a version which was taken back stops telling it.
func (l learnedQuota) counts(present *Quotas, now time.Time) bool {
	return l.version > present.Version() && now.Sub(l.at) <= memberTTL
}

// learn takes over the quotas in a request that are from a newer configuration than this
// instance's, so that a change is in force here as soon as at the first member. The caller holds
// mu.
func (a *Allocator) learn(in *wire.QuotaRequest, now time.Time) {
	for _, d := range in.GetDemands() {
		l := learnedQuota{Quota{d.GetRatePerSecond(), d.GetBurst()}, d.GetVersion(), now}
		before, isKnown := a.learned[d.GetTeam()]
		switch {
		case a.adopted.Version() == 0 || !l.counts(a.adopted, now) || !l.isSound():
			continue
		case isKnown && before.version > l.version, !isKnown && len(a.learned) >= maxLearned:
			continue
		}
		a.learned[d.GetTeam()] = l
		if isKnown && before.Quota == l.Quota {
			continue
		}
		a.cfg.Log.WithFields(logrus.Fields{"team": d.GetTeam(), "version": l.version, "from": in.GetInstance()}).
			Info("allocator: uses the quota of a newer configuration")
		a.limits[d.GetTeam()] = a.cfg.Budget.Limits(l.Quota)
		for _, p := range a.pools {
			p.adopt(a.limits, now)
		}
	}
}

// isSound reports whether the numbers may be those of a quota.
func (l learnedQuota) isSound() bool {
	return l.RatePerSecond > 0 && l.RatePerSecond <= maxQuota && l.Burst >= 0 && l.Burst <= maxQuota
}
