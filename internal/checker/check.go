package checker

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"
)

const (
	minServerConnections = 4 // Two are reserved for the monitor, and a planned change of primary needs two.
	maxServerConnections = 10_000
	minReplicatedServers = 3
	maxServers           = 9
	maxCallerConnections = 100_000
	maxReadAge           = 24 * time.Hour
	maxNameLength        = 63 // PostgreSQL's NAMEDATALEN - 1.
)

// OwnersPart is the name of the part that holds the co-owners' keys.
const OwnersPart = "owners"

var (
	partName   = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	plainName  = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_.-]{0,62}$`)
	serverTLSs = []string{"", ServerTLSDisable, ServerTLSVerifyFull}
)

// CheckManifest parses and checks one customer's part.
func CheckManifest(file string, data []byte) (Manifest, Findings) {
	m, r := decode[Manifest](file, data)
	if r.IsBroken() {
		return m, r.Findings()
	}
	c := manifestCheck{Report: r, manifest: m}
	c.run()
	return m, r.Findings()
}

// manifestCheck adds findings about the meaning of a decoded manifest.
type manifestCheck struct {
	*Report
	manifest Manifest
	servers  unique
}

func (c *manifestCheck) run() {
	c.checkName("part", c.manifest.Part, partName)
	if c.manifest.Part == OwnersPart {
		c.Add("part", "%q is reserved for the co-owners' keys", OwnersPart)
	}
	c.Require("group")
	c.checkGroups()
	c.checkReads()
	c.checkCallers()
	c.checkDrains()
	c.checkSwitchovers()
}

// Require counts an array of tables as set when it has an element.
func (c *manifestCheck) Require(key string) bool {
	if c.Has(key+"[0]") || c.Has(key) {
		return true
	}
	return c.Report.Require(key)
}

func (c *manifestCheck) checkGroups() {
	names, databases := unique{}, unique{}
	addresses := unique{}
	c.servers = unique{}
	for i, g := range c.manifest.Groups {
		key := fmt.Sprintf("group[%d]", i)
		c.checkName(key+".name", g.Name, plainName)
		c.checkUnique(names, key+".name", g.Name)
		c.checkText(key+".database", g.Database)
		c.checkUnique(databases, key+".database", g.Database)
		c.checkText(key+".server_user", g.ServerUser)
		if !slices.Contains(serverTLSs, g.ServerTLS) {
			c.Add(key+".server_tls", "must be %q or %q", ServerTLSDisable, ServerTLSVerifyFull)
		}
		c.checkServers(key, g, addresses)
	}
}

func (c *manifestCheck) checkServers(group string, g Group, addresses unique) {
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
		c.checkName(key+".name", s.Name, plainName)
		c.checkUnique(c.servers, key+".name", s.Name)
		c.checkAddress(key+".address", s.Address)
		c.checkUnique(addresses, key+".address", s.Address)
		c.checkName(key+".zone", s.Zone, plainName)
		c.checkRange(key+".connection_limit", s.ConnectionLimit, minServerConnections, maxServerConnections)
	}
}

func (c *manifestCheck) checkReads() {
	names := unique{}
	for i, rule := range c.manifest.Reads {
		key := fmt.Sprintf("read[%d]", i)
		c.checkName(key+".name", rule.Name, plainName)
		c.checkUnique(names, key+".name", rule.Name)
		c.checkGroup(key+".group", rule.Group)
		c.checkTables(key+".tables", rule.Tables)
		if !c.Require(key + ".max_age") {
			continue
		}
		if age := time.Duration(rule.MaxAge); !c.faulty(key+".max_age") && (age <= 0 || age > maxReadAge) {
			c.Add(key+".max_age", "must be above 0 and at most %s", maxReadAge)
		}
	}
}

func (c *manifestCheck) checkTables(key string, tables []string) {
	if !c.Require(key) || c.faulty(key) {
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

func (c *manifestCheck) checkCallers() {
	names := unique{}
	for i, caller := range c.manifest.Callers {
		key := fmt.Sprintf("caller[%d]", i)
		c.checkText(key+".name", caller.Name)
		c.checkUnique(names, key+".name", caller.Name)
		c.checkCallerGroups(key+".groups", caller.Groups)
		if c.Require(key+".scram_verifier") && !c.faulty(key+".scram_verifier") {
			if err := checkScramVerifier(caller.ScramVerifier); err != nil {
				c.Add(key+".scram_verifier", "%s", err)
			}
		}
		c.checkRange(key+".connection_limit", caller.ConnectionLimit, 1, maxCallerConnections)
		if caller.PinnedLimit < 0 || caller.PinnedLimit > max(caller.ConnectionLimit, 0) {
			c.Add(key+".pinned_limit", "must be from 0 to connection_limit")
		}
	}
}

func (c *manifestCheck) checkCallerGroups(key string, groups []string) {
	if !c.Require(key) || c.faulty(key) {
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

func (c *manifestCheck) checkDrains() {
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

func (c *manifestCheck) checkSwitchovers() {
	ids := unique{}
	for i, s := range c.manifest.Switchovers {
		key := fmt.Sprintf("switchover[%d]", i)
		c.checkName(key+".id", s.ID, plainName)
		c.checkUnique(ids, key+".id", s.ID)
		if !c.checkGroup(key+".group", s.Group) || !c.checkServer(key+".to", s.Group, s.To) {
			continue
		}
		if slices.Contains(c.manifest.Drains, Drain{Group: s.Group, Server: s.To}) {
			c.Add(key+".to", "server %q is drained", s.To)
		}
	}
}

func (c *manifestCheck) group(name string) (Group, bool) {
	i := slices.IndexFunc(c.manifest.Groups, func(g Group) bool { return g.Name == name })
	if i < 0 {
		return Group{}, false
	}
	return c.manifest.Groups[i], true
}

// checkGroup checks a reference to a group.
func (c *manifestCheck) checkGroup(key, name string) bool {
	if !c.Require(key) || c.faulty(key) {
		return false
	}
	if _, ok := c.group(name); !ok {
		c.Add(key, "group %q does not exist in this part", name)
		return false
	}
	return true
}

// checkServer checks a reference to a server of a group.
func (c *manifestCheck) checkServer(key, group, name string) bool {
	if !c.Require(key) || c.faulty(key) {
		return false
	}
	g, _ := c.group(group)
	if !slices.ContainsFunc(g.Servers, func(s Server) bool { return s.Name == name }) {
		c.Add(key, "server %q does not exist in group %q", name, group)
		return false
	}
	return true
}

func (c *manifestCheck) checkName(key, name string, form *regexp.Regexp) {
	if c.Require(key) && !c.faulty(key) && !form.MatchString(name) {
		c.Add(key, "%q is not a name of the form %s", name, form)
	}
}

func (c *manifestCheck) checkText(key, text string) {
	if !c.Require(key) || c.faulty(key) {
		return
	}
	if text == "" || len(text) > maxNameLength {
		c.Add(key, "must have from 1 to %d bytes", maxNameLength)
	}
}

func (c *manifestCheck) checkAddress(key, address string) {
	if !c.Require(key) || c.faulty(key) {
		return
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().Zone() != "" {
		c.Add(key, "%q is not an IP number with a port", address)
	}
}

func (c *manifestCheck) checkRange(key string, n, low, high int) {
	if c.Require(key) && !c.faulty(key) && (n < low || n > high) {
		c.Add(key, "%d is out of range, must be from %d to %d", n, low, high)
	}
}

func (c *manifestCheck) checkUnique(seen unique, key, name string) {
	if name == "" {
		return
	}
	if first, ok := seen[name]; ok {
		c.Add(key, "%q is used twice, first in line %d", name, c.places.find(first).Line)
		return
	}
	seen[name] = key
}

// unique maps a name to the key that used it first.
type unique map[string]string
