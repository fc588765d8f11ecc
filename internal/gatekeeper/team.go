package gatekeeper

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/resolver"
)

// teamKey is the key by which a member of a team was authenticated. The zero value
// stands for a caller without a team.
type teamKey struct {
	team   string
	digest informer.KeyDigest
}

// authenticateTeam asks a member of a team for its key. Peers without TLS are refused
// before they send it.
func (l *login) authenticateTeam(name string, failed error) error {
	if !l.usesTLS {
		return &loginError{resolver.CodeInvalidLogin, "teams must connect with TLS"}
	}
	l.write(&pgproto3.AuthenticationCleartextPassword{})
	_ = l.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	msg, err := l.backend.Receive()
	if err != nil {
		return errConnectionEnded
	}
	m, ok := msg.(*pgproto3.PasswordMessage)
	if !ok {
		return &loginError{resolver.CodeProtocolViolation, "expected password message"}
	}
	digest := informer.DigestKey(m.Password)
	team, ok := l.g.deps.Catalogs.Catalog().Team(name)
	if !ok || !team.HasKey(digest) {
		return failed
	}
	l.caller, l.teamKey = team.Caller(), teamKey{name, digest}
	return nil
}

// mayContinue reports whether the session may go on under the catalog. Callers without a
// team may.
func (c *authenticatedConn) mayContinue(catalog *checker.Catalog) bool {
	if c.teamKey.team == "" {
		return true
	}
	team, ok := catalog.Team(c.teamKey.team)
	return ok && team.HasKey(c.teamKey.digest) && team.MayUse(c.group)
}

// reviewTeams ends the sessions of members whose key or group was withdrawn, each time
// that another manifest comes into force, until all connections have ended.
func (g *Gatekeeper) reviewTeams(ended <-chan struct{}) {
	last := g.deps.Catalogs.Catalog()
	for {
		// The channel is taken before the catalog, so that no change is missed.
		changed := g.deps.Catalogs.Changed()
		catalog := g.deps.Catalogs.Catalog()
		if catalog != last {
			g.reviewSessions(last, catalog)
			last = catalog
		}
		select {
		case <-changed:
		case <-ended:
			return
		}
	}
}

// reviewSessions ends the sessions that may not continue, and logs what changed.
func (g *Gatekeeper) reviewSessions(before, after *checker.Catalog) {
	revoked := map[teamKey]int{}
	g.mu.Lock()
	for _, c := range g.sessions {
		if !c.mayContinue(after) {
			c.session.Revoke()
			revoked[c.teamKey]++
		}
	}
	g.mu.Unlock()
	for _, change := range checker.DiffTeams(before.Teams(), after.Teams()) {
		g.log.WithFields(logrus.Fields{"team": change.Team, "change": change.Text}).Info("gatekeeper: team changed")
	}
	for key, n := range revoked {
		g.log.WithFields(logrus.Fields{"team": key.team, "key": key.digest.Fingerprint(), "connections": n}).
			Warn("gatekeeper: connections end, their team no longer has the key or the group")
	}
}

// KeyConnections returns the number of connections by team and fingerprint of the key.
func (g *Gatekeeper) KeyConnections() map[string]map[string]int64 {
	counts := map[string]map[string]int64{}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.sessions {
		key := c.teamKey
		if key.team == "" {
			continue
		}
		if counts[key.team] == nil {
			counts[key.team] = map[string]int64{}
		}
		counts[key.team][key.digest.Fingerprint()]++
	}
	return counts
}
