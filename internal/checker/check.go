package checker

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"
)

const (
	minServerConnectionLimit = 4 // Two are reserved for the monitor, and a planned change of primary needs two.
	maxServerConnectionLimit = 10_000
	minReplicatedServers     = 3
	maxServers               = 9
	maxCallerConnectionLimit = 100_000
	maxReadAge               = 24 * time.Hour
	maxNameBytes             = 63 // PostgreSQL's NAMEDATALEN - 1.
)

// OwnersPart is the name of the part that holds the co-owners' keys.
const OwnersPart = "owners"

var (
	partNamePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_.-]{0,62}$`)
	serverTLSModes  = []string{"", ServerTLSDisable, ServerTLSVerifyFull}
)

// CheckManifest parses and checks one customer's part.
func CheckManifest(file string, data []byte) (Manifest, Findings) {
	m, r := decode[Manifest](file, data)
	if r.HasSyntaxError() {
		return m, r.Findings()
	}
	c := manifestChecker{Report: r, manifest: m}
	c.run()
	return m, r.Findings()
}

// manifestChecker adds findings about the content of a decoded manifest.
type manifestChecker struct {
	*Report
	manifest Manifest
	servers  firstUses
}

func (c *manifestChecker) run() {
	c.checkName("part", c.manifest.Part, partNamePattern)
	if c.manifest.Part == OwnersPart {
		c.Add("part", "%q is reserved for the co-owners' keys", OwnersPart)
	}
	c.Require("group")
	c.checkGroups()
	c.checkReads()
	c.checkCallers()
	c.checkTeams()
	c.checkDrains()
	c.checkSwitchovers()
}

// Require treats an array of tables as set when it has an element.
func (c *manifestChecker) Require(key string) bool {
	if c.Has(key+"[0]") || c.Has(key) {
		return true
	}
	return c.Report.Require(key)
}

func (c *manifestChecker) checkGroups() {
	names, databases := firstUses{}, firstUses{}
	addresses := firstUses{}
	c.servers = firstUses{}
	for i, g := range c.manifest.Groups {
		key := fmt.Sprintf("group[%d]", i)
		c.checkName(key+".name", g.Name, namePattern)
		c.checkUnique(names, key+".name", g.Name)
		c.checkText(key+".database", g.Database)
		c.checkUnique(databases, key+".database", g.Database)
		c.checkText(key+".server_user", g.ServerUser)
		if !slices.Contains(serverTLSModes, g.ServerTLS) {
			c.Add(key+".server_tls", "must be %q or %q", ServerTLSDisable, ServerTLSVerifyFull)
		}
		c.checkServers(key, g, addresses)
	}
}

func (c *manifestChecker) checkServers(group string, g Group, addresses firstUses) {
	n := len(g.Servers)
	switch {
	case n == 0:
		c.Require(group + ".server")
	case n > maxServers:
		c.Add(group, "has %d servers; at most %d are supported", n, maxServers)
	case n != 1 && (n < minReplicatedServers || n%2 == 0):
		c.Add(group, "has %d servers; a group has 1 server or an odd number of at least %d", n, minReplicatedServers)
	}
	for i, s := range g.Servers {
		key := fmt.Sprintf("%s.server[%d]", group, i)
		c.checkName(key+".name", s.Name, namePattern)
		c.checkUnique(c.servers, key+".name", s.Name)
		c.checkAddress(key+".address", s.Address)
		c.checkUnique(addresses, key+".address", s.Address)
		c.checkName(key+".zone", s.Zone, namePattern)
		c.checkRange(key+".connection_limit", s.ConnectionLimit, minServerConnectionLimit, maxServerConnectionLimit)
	}
}

func (c *manifestChecker) checkReads() {
	names := firstUses{}
	for i, rule := range c.manifest.Reads {
		key := fmt.Sprintf("read[%d]", i)
		c.checkName(key+".name", rule.Name, namePattern)
		c.checkUnique(names, key+".name", rule.Name)
		c.checkGroup(key+".group", rule.Group)
		c.checkTables(key+".tables", rule.Tables)
		if !c.Require(key + ".max_age") {
			continue
		}
		if age := time.Duration(rule.MaxAge); !c.hasFinding(key+".max_age") && (age <= 0 || age > maxReadAge) {
			c.Add(key+".max_age", "must be above 0 and at most %s", maxReadAge)
		}
	}
}

func (c *manifestChecker) checkTables(key string, tables []string) {
	if !c.Require(key) || c.hasFinding(key) {
		return
	}
	if len(tables) == 0 {
		c.Add(key, "must name at least one table")
	}
	seen := map[string]bool{}
	for _, table := range tables {
		if table == "" {
			c.Add(key, "contains an empty name")
		}
		if seen[table] {
			c.Add(key, "names table %q twice", table)
		}
		seen[table] = true
	}
}

func (c *manifestChecker) checkCallers() {
	names := firstUses{}
	for i, caller := range c.manifest.Callers {
		key := fmt.Sprintf("caller[%d]", i)
		c.checkText(key+".name", caller.Name)
		c.checkUnique(names, key+".name", caller.Name)
		if _, ok := TeamOfUser(caller.Name); ok {
			c.Add(key+".name", "begins with %q, which user names of teams begin with", teamUserPrefix)
		}
		c.checkCallerGroups(key+".groups", caller.Groups)
		if c.Require(key+".scram_verifier") && !c.hasFinding(key+".scram_verifier") {
			if err := checkScramVerifier(caller.ScramVerifier); err != nil {
				c.Add(key+".scram_verifier", "%s", err)
			}
		}
		c.checkCallerLimits(key, caller.ConnectionLimit, caller.PinnedLimit)
	}
}

func (c *manifestChecker) checkCallerLimits(key string, connections, pinned int) {
	c.checkRange(key+".connection_limit", connections, 1, maxCallerConnectionLimit)
	if pinned < 0 || pinned > max(connections, 0) {
		c.Add(key+".pinned_limit", "must be from 0 to connection_limit")
	}
}

func (c *manifestChecker) checkCallerGroups(key string, groups []string) {
	if !c.Require(key) || c.hasFinding(key) {
		return
	}
	if len(groups) == 0 {
		c.Add(key, "must name at least one group")
	}
	seen := map[string]bool{}
	for _, g := range groups {
		c.checkGroup(key, g)
		if seen[g] {
			c.Add(key, "names group %q twice", g)
		}
		seen[g] = true
	}
}

func (c *manifestChecker) checkDrains() {
	drained := map[string]map[string]bool{}
	for i, d := range c.manifest.Drains {
		key := fmt.Sprintf("drain[%d]", i)
		if !c.checkGroup(key+".group", d.Group) || !c.checkServer(key+".server", d.Group, d.Server) {
			continue
		}
		servers := drained[d.Group]
		if servers == nil {
			servers = map[string]bool{}
			drained[d.Group] = servers
		}
		if servers[d.Server] {
			c.Add(key+".server", "server %q is drained twice", d.Server)
		}
		servers[d.Server] = true
		if g, _ := c.group(d.Group); len(servers) == len(g.Servers) {
			c.Add(key+".server", "the drain of %q leaves group %q without a server", d.Server, d.Group)
		}
	}
}

func (c *manifestChecker) checkSwitchovers() {
	ids := firstUses{}
	for i, s := range c.manifest.Switchovers {
		key := fmt.Sprintf("switchover[%d]", i)
		c.checkName(key+".id", s.ID, namePattern)
		c.checkUnique(ids, key+".id", s.ID)
		if !c.checkGroup(key+".group", s.Group) || !c.checkServer(key+".to", s.Group, s.To) {
			continue
		}
		if slices.Contains(c.manifest.Drains, Drain{Group: s.Group, Server: s.To}) {
			c.Add(key+".to", "server %q is drained", s.To)
		}
	}
}

func (c *manifestChecker) group(name string) (Group, bool) {
	i := slices.IndexFunc(c.manifest.Groups, func(g Group) bool { return g.Name == name })
	if i < 0 {
		return Group{}, false
	}
	return c.manifest.Groups[i], true
}

// checkGroup checks a reference to a group.
func (c *manifestChecker) checkGroup(key, name string) bool {
	if !c.Require(key) || c.hasFinding(key) {
		return false
	}
	if _, ok := c.group(name); !ok {
		c.Add(key, "group %q does not exist in this part", name)
		return false
	}
	return true
}

// checkServer checks a reference to a server of a group.
func (c *manifestChecker) checkServer(key, group, name string) bool {
	if !c.Require(key) || c.hasFinding(key) {
		return false
	}
	g, _ := c.group(group)
	if !slices.ContainsFunc(g.Servers, func(s Server) bool { return s.Name == name }) {
		c.Add(key, "server %q does not exist in group %q", name, group)
		return false
	}
	return true
}

func (c *manifestChecker) checkName(key, name string, form *regexp.Regexp) {
	if c.Require(key) && !c.hasFinding(key) && !form.MatchString(name) {
		c.Add(key, "%q is not a name of the form %s", name, form)
	}
}

func (c *manifestChecker) checkText(key, text string) {
	if !c.Require(key) || c.hasFinding(key) {
		return
	}
	if text == "" || len(text) > maxNameBytes {
		c.Add(key, "must have from 1 to %d bytes", maxNameBytes)
	}
}

func (c *manifestChecker) checkAddress(key, address string) {
	if !c.Require(key) || c.hasFinding(key) {
		return
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().Zone() != "" {
		c.Add(key, "%q is not an IP number with a port", address)
	}
}

func (c *manifestChecker) checkRange(key string, n, low, high int) {
	if c.Require(key) && !c.hasFinding(key) && (n < low || n > high) {
		c.Add(key, "%d is out of range, must be from %d to %d", n, low, high)
	}
}

func (c *manifestChecker) checkUnique(seen firstUses, key, name string) {
	if name == "" {
		return
	}
	if first, ok := seen[name]; ok {
		c.Add(key, "%q is used twice, first in line %d", name, c.keys.position(first).Line)
		return
	}
	seen[name] = key
}

// firstUses maps a name to the key that used it first.
type firstUses map[string]string
