package auditor_test

import (
	"strings"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/auditor"
	"marigoldhub.example/hub/internal/informer"
)

// newConfiguration returns a configuration without findings.
func newConfiguration() *informer.Configuration {
	return &informer.Configuration{
		Version: 7, IdleInTransaction: time.Minute,
		Routes: map[string]informer.Route{
			"orders": {Name: "r1", Database: "orders", Service: "s1", StatementTimeout: time.Second, Objective: 400 * time.Millisecond, Priority: 1},
			"search": {
				Name: "r2", Database: "search", Service: "s1", Reads: informer.BoundedReads, MaxStaleness: time.Second, StatementTimeout: time.Second,
				Objective: 400 * time.Millisecond,
			},
		},
		Services: map[string]informer.Service{"s1": {Name: "s1", MaxConnections: 20, SyncReplicas: 1}},
		Teams: map[string]informer.Team{
			"a": {Name: "a", RatePerSecond: 10, Burst: 5, Keys: []informer.KeyDigest{informer.DigestKey("k1")}},
			"b": {Name: "b", Keys: []informer.KeyDigest{informer.DigestKey("k2")}},
		},
	}
}

func update[V any](m map[string]V, name string, change func(*V)) {
	v := m[name]
	change(&v)
	m[name] = v
}

// Guards against a configuration that is put in force although an entry never matches,
// or two of them contradict each other.
func TestCheck(t *testing.T) {
	f := func(key string) string { return informer.DigestKey(key).Fingerprint() }
	for _, tc := range []struct {
		name   string
		change func(c *informer.Configuration)
		want   []string
	}{
		{"complete", func(*informer.Configuration) {}, nil},
		{"unknown service", func(c *informer.Configuration) {
			update(c.Routes, "orders", func(r *informer.Route) { r.Service = "gone" })
		}, []string{`error: route of database "orders": service "gone" is not in the configuration`}},
		{"no time", func(c *informer.Configuration) {
			update(c.Routes, "orders", func(r *informer.Route) { r.StatementTimeout = 0 })
		}, []string{`error: route of database "orders": statements have no time: the time limit is 0s`}},
		{"objective above the time limit", func(c *informer.Configuration) {
			update(c.Routes, "orders", func(r *informer.Route) { r.Objective = 2 * time.Second })
		}, []string{`warning: route of database "orders": the latency objective of 2s is above the time limit of 1s: a statement ends before it`}},
		{"bounds", func(c *informer.Configuration) {
			update(c.Routes, "orders", func(r *informer.Route) { r.MaxStaleness = time.Second })
			update(c.Routes, "search", func(r *informer.Route) { r.MaxStaleness = 0 })
		}, []string{
			`warning: route of database "orders": the staleness bound of 1s has no effect: reads are strict`,
			`warning: route of database "search": reads may be stale, but by 0 s only: a replica can hardly serve them`,
		}},
		{"service without a route, service without replicas", func(c *informer.Configuration) {
			c.Services["s2"] = informer.Service{Name: "s2", SyncReplicas: 1}
			update(c.Services, "s1", func(s *informer.Service) { s.SyncReplicas = 0 })
		}, []string{
			`warning: service "s1": commits wait for no replica: a failure of the primary loses them`,
			`warning: service "s2": no route leads to it`,
		}},
		{"quotas", func(c *informer.Configuration) {
			update(c.Teams, "a", func(t *informer.Team) { t.RatePerSecond = -1 })
			update(c.Teams, "b", func(t *informer.Team) { t.Burst = 3 })
			c.Teams["c"] = informer.Team{Name: "c", RatePerSecond: 0.2, Keys: []informer.KeyDigest{informer.DigestKey("k3")}}
		}, []string{
			`error: team "a": the quota is -1 a second with a burst of 5`,
			`warning: team "b": the burst of 3 has no effect: there is no rate limit`,
			`warning: team "c": the quota of 0.2 a second with a burst of 0 admits less than one operation a second`,
		}},
		{"a key of two teams", func(c *informer.Configuration) {
			update(c.Teams, "b", func(t *informer.Team) { t.Keys = c.Teams["a"].Keys })
		}, []string{`error: team "b": key ` + f("k1") + ` is held by team "a" as well, or twice`}},
		{"more teams than connections, endless transactions", func(c *informer.Configuration) {
			update(c.Services, "s1", func(s *informer.Service) { s.MaxConnections = 1 })
			c.IdleInTransaction = 0
		}, []string{
			`warning: limits: transactions may be idle for ever: each keeps a connection to a server meanwhile`,
			`warning: service "s1": 2 teams share 1 connections, each of which serves one team: statements wait for connections to be replaced`,
		}},
		{"no keys at all", func(c *informer.Configuration) {
			c.Teams = map[string]informer.Team{"a": {Name: "a"}}
		}, []string{
			`error: teams: no team has a key: 2 routes that need one admit nobody`,
			`warning: team "a": has no key: nobody can connect as a member`,
		}},
		{"public without teams", func(c *informer.Configuration) {
			c.Teams = nil
			update(c.Routes, "search", func(r *informer.Route) { r.Public = true })
		}, []string{`warning: routes: 1 are marked public, which has no effect: there are no teams, and no caller needs a key`}},
		{"all public", func(c *informer.Configuration) {
			for name := range c.Routes {
				update(c.Routes, name, func(r *informer.Route) { r.Public = true })
			}
		}, []string{`warning: teams: all routes are public: no caller needs a key`}},
	} {
		c := newConfiguration()
		tc.change(c)
		var got []string
		for _, f := range auditor.Check(c) {
			got = append(got, f.String())
		}
		compareLines(t, tc.name, got, tc.want)
		if hasErrors := strings.Contains(strings.Join(tc.want, "\n"), "error: "); auditor.HasErrors(auditor.Check(c)) != hasErrors {
			t.Errorf("%s: has errors: %v, want %v", tc.name, !hasErrors, hasErrors)
		}
	}
}

// Guards against a change that an operator puts in force without having seen it.
func TestCompare(t *testing.T) {
	f := func(key string) string { return informer.DigestKey(key).Fingerprint() }
	for _, tc := range []struct {
		name   string
		change func(c *informer.Configuration)
		want   []string
	}{
		{"no difference", func(*informer.Configuration) {}, nil},
		{"version", func(c *informer.Configuration) { c.Version = 7 }, []string{"error: version: 7 is not above 7, which is in force: instances keep the latter"}},
		{"key replaced, quota raised", func(c *informer.Configuration) {
			update(c.Teams, "a", func(t *informer.Team) {
				t.Keys, t.RatePerSecond = []informer.KeyDigest{informer.DigestKey("k9")}, 20
			})
		}, []string{
			`team "a": key ` + f("k9") + ` added`, `team "a": key ` + f("k1") + ` withdrawn`,
			`team "a": quota raised from 10 a second with a burst of 5 to 20 a second with a burst of 5`,
		}},
		{"a limit begins, a burst is lowered", func(c *informer.Configuration) {
			update(c.Teams, "a", func(t *informer.Team) { t.Burst = 1 })
			update(c.Teams, "b", func(t *informer.Team) { t.RatePerSecond = 3 })
		}, []string{`team "a": burst lowered from 5 to 1`, `team "b": quota lowered from none to 3 a second with a burst of 0`}},
		{"a team goes, another comes", func(c *informer.Configuration) {
			delete(c.Teams, "b")
			c.Teams["c"] = informer.Team{Name: "c", RatePerSecond: 1, Keys: []informer.KeyDigest{informer.DigestKey("k3")}}
		}, []string{
			`team "b": removed`, `team "b": key ` + f("k2") + ` withdrawn`,
			`team "c": added`, `team "c": key ` + f("k3") + ` added`, `team "c": quota 1 a second with a burst of 0`,
		}},
		{"teams end", func(c *informer.Configuration) { c.Teams = nil }, []string{
			"warning: teams: all teams go: every caller may use every route",
			"teams: callers need no keys any more, and have no quotas",
			`team "a": removed`, `team "a": key ` + f("k1") + ` withdrawn`, `team "b": removed`, `team "b": key ` + f("k2") + ` withdrawn`,
		}},
		{"routes and services", func(c *informer.Configuration) {
			delete(c.Routes, "search")
			c.Services["s2"] = informer.Service{Name: "s2"}
			update(c.Services, "s1", func(s *informer.Service) { s.MaxConnections = 10 })
			update(c.Routes, "orders", func(r *informer.Route) {
				r.Service, r.Reads, r.MaxStaleness, r.Public = "s2", informer.SessionReads, time.Second, true
			})
			c.IdleInTransaction = 2 * time.Minute
		}, []string{
			`route of database "orders": service changes from "s1" to "s2"`, `route of database "orders": reads change from primary to session`,
			`route of database "orders": becomes public: callers need no key`, `route of database "orders": staleness bound raised from 0s to 1s`,
			`route of database "search": removed`, `service "s1": connection limit lowered from 20 to 10`, `service "s2": added`,
			`limits: time for which a transaction may be idle raised from 1m0s to 2m0s`,
		}},
		{"a service goes", func(c *informer.Configuration) { delete(c.Services, "s1") }, []string{
			`warning: service "s1": is removed; its servers get no requests`, `service "s1": removed`,
		}},
	} {
		next := newConfiguration()
		next.Version = 9
		tc.change(next)
		changes, findings := auditor.Compare(newConfiguration(), next)
		var got []string
		for _, f := range findings {
			got = append(got, f.String())
		}
		for _, c := range changes {
			got = append(got, c.String())
		}
		compareLines(t, tc.name, got, tc.want)
	}
}

func compareLines(t *testing.T, name string, got, want []string) {
	t.Helper()
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("%s: got\n%s\nwant\n%s", name, strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against quotas that promise together what the servers cannot run.
func TestCheckCapacity(t *testing.T) {
	for _, tc := range []struct {
		name      string
		perSecond float64
		want      int
	}{{"enough", 10, 0}, {"too little", 9.5, 1}} {
		if got := auditor.CheckCapacity(newConfiguration(), tc.perSecond); len(got) != tc.want {
			t.Errorf("%s: %v, want %d findings", tc.name, got, tc.want)
		}
	}
}

// Guards against a configuration that is put in force although the listed servers cannot
// serve it as it is written.
func TestCheckServers(t *testing.T) {
	servers := func(service string, n int) []informer.Server {
		var out []informer.Server
		for range n {
			out = append(out, informer.Server{Service: service, Slots: 3})
		}
		return out
	}
	for _, tc := range []struct {
		name    string
		change  func(c *informer.Configuration)
		servers []informer.Server
		want    []string
	}{
		{"complete", func(*informer.Configuration) {}, servers("s1", 3), nil},
		{"no server", func(*informer.Configuration) {}, nil, []string{`warning: service "s1": no server of it is listed: its statements are refused`}},
		{"no server and no route", func(c *informer.Configuration) { clear(c.Routes) }, nil, nil},
		{"too few replicas", func(*informer.Configuration) {}, servers("s1", 1), []string{
			`warning: service "s1": commits wait for 1 replicas, and 1 servers are listed, one of which is the primary: no commit is acknowledged`,
		}},
		{"fewer connections than slots", func(c *informer.Configuration) {
			update(c.Services, "s1", func(s *informer.Service) { s.MaxConnections = 2 })
		}, servers("s1", 2), []string{`warning: service "s1": the connection limit of 2 is below the 3 slots of a server: a part of them is never used`}},
		{"unknown service", func(*informer.Configuration) {}, append(servers("s1", 3), servers("old", 2)...), []string{
			`warning: service "old": 2 servers are listed, but the service is not in the configuration: they get no work`,
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newConfiguration()
			tc.change(c)
			var got []string
			for _, f := range auditor.CheckServers(c, tc.servers) {
				got = append(got, f.String())
			}
			if strings.Join(got, "\n") != strings.Join(tc.want, "\n") {
				t.Errorf("got:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(tc.want, "\n"))
			}
		})
	}
}
