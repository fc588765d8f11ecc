package deployer

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/launcher"
	"marigoldhub.example/hub/standin/link"
)

// Link names are "KIND:NAME", so that a rule for "sql:*" matches all SQL links.
const (
	linkCaller      = "caller:"
	linkPeer        = "peer:"
	linkSQL         = "sql:"
	linkReplication = "replication:"
	linkStore       = "store:"
)

// Patterns that match all links of a kind.
const (
	AllCallerLinks = linkCaller + "*"
	AllPeerLinks   = linkPeer + "*"
	AllStoreLinks  = linkStore + "*"
)

// SQLLink returns the name of the link to a server's SQL address.
func SQLLink(server string) string { return linkSQL + server }

// ReplicationLink returns the name of the link to a server's replication
// address.
func ReplicationLink(server string) string { return linkReplication + server }

// PeerLink returns the name of the link to an instance's address for other
// instances.
func PeerLink(instance string) string { return linkPeer + instance }

// CallerLink returns the name of the link to an instance's address for callers.
func CallerLink(instance string) string { return linkCaller + instance }

// entryZone returns the zone number, from 1, of entry instance i.
func (d *Deployment) entryZone(i int) int { return 1 + i%len(d.Plan.Zones) }

func (d *Deployment) entryName(i int) string { return fmt.Sprintf("%s-entry-%d", d.Plan.Customer, i+1) }

func serverName(group string, zone int) string { return fmt.Sprintf("%s-%c", group, 'a'+rune(zone-1)) }

func (d *Deployment) allLinks() []link.Link {
	links := []link.Link{{
		Name:   linkStore + "platform",
		Listen: d.addresses.address(0, octetPlatformPublic, 1, storePort),
		Target: d.addresses.address(0, octetPlatform, 1, storePort),
	}}
	add := func(name string, zone, public, private, n, port int) {
		links = append(links, link.Link{
			Name: name, Listen: d.addresses.address(zone, public, n, port), Target: d.addresses.address(zone, private, n, port),
		})
	}
	for i := range d.Plan.Entries {
		add(linkCaller+d.entryName(i), d.entryZone(i), octetEntryPublic, octetEntry, i+1, callerPort)
		add(linkPeer+d.entryName(i), d.entryZone(i), octetEntryPublic, octetEntry, i+1, peerPort)
	}
	for g, group := range d.Plan.Groups {
		for zone := 1; zone <= len(d.Plan.Zones); zone++ {
			name := serverName(group, zone)
			add(linkSQL+name, zone, octetServerPublic, octetServer, g+1, serverPort)
			add(linkReplication+name, zone, octetServerPublic, octetServer, g+1, replicationPort)
		}
	}
	return links
}

// delayRules returns the rules that delay traffic between zones, and between
// clients and entry instances. The store is as far away as another zone.
func (d *Deployment) delayRules() []link.Rule {
	rules := []link.Rule{
		delayRule(d.addresses.zonePrefix(0), linkCaller+"*", d.Plan.ClientDelay),
		delayRule("", linkStore+"*", d.Plan.ZoneDelay),
	}
	for _, l := range d.allLinks() {
		if strings.HasPrefix(l.Name, linkCaller) || strings.HasPrefix(l.Name, linkStore) {
			continue
		}
		for zone := 1; zone <= len(d.Plan.Zones); zone++ {
			if !d.addresses.isInZone(l.Listen, zone) {
				rules = append(rules, delayRule(d.addresses.zonePrefix(zone), l.Name, d.Plan.ZoneDelay))
			}
		}
	}
	return rules
}

func (d *Deployment) startGroup(g int) error {
	group := d.Plan.Groups[g]
	var peers []string
	for zone := 1; zone <= len(d.Plan.Zones); zone++ {
		peers = append(peers, serverName(group, zone)+"="+d.addresses.address(zone, octetServerPublic, g+1, replicationPort))
	}
	for zone := 1; zone <= len(d.Plan.Zones); zone++ {
		s := d.newServer(g, zone, peers)
		if err := s.Restart(); err != nil {
			return err
		}
		d.Servers = append(d.Servers, s)
	}
	return nil
}

func (d *Deployment) newServer(g, zone int, peers []string) *Server {
	group := d.Plan.Groups[g]
	name := serverName(group, zone)
	n := g + 1
	args := []string{
		"--name", name,
		"--listen", d.addresses.address(zone, octetServer, n, serverPort),
		"--replication-listen", d.addresses.address(zone, octetServer, n, replicationPort),
		"--control", d.addresses.address(zone, octetServer, n, controlPort),
		"--local-ip", d.addresses.ip(zone, octetServer, n),
		"--dir", filepath.Join(d.Dir, name),
		"--connection-limit", fmt.Sprint(d.Plan.ConnectionLimit),
		"--open-delay", d.Plan.OpenDelay.String(),
		"--apply-delay", d.Plan.ApplyDelay.String(),
		"--peer", strings.Join(peers, ","),
	}
	if zone == 1 {
		args = append(args, "--initial-primary")
	} else {
		args = append(args, "--follow", d.addresses.address(1, octetServerPublic, n, replicationPort))
	}
	return &Server{
		Group: group, Zone: d.Plan.Zones[zone-1], IP: d.addresses.ip(zone, octetServer, n), zone: zone, number: n,
		Address:       d.addresses.address(zone, octetServerPublic, n, serverPort),
		DirectAddress: d.addresses.address(zone, octetServer, n, serverPort),
		controlURL:    "http://" + d.addresses.address(zone, octetServer, n, controlPort),
		start:         func() (*Process, error) { return d.startProgram(name, "standin-server", args...) },
	}
}

func (d *Deployment) newEntry(i int) (*Entry, error) {
	zone, n, name := d.entryZone(i), i+1, d.entryName(i)
	settings, err := d.entrySettings(i)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(d.Dir, name+".toml")
	if err := writeTOML(file, settings); err != nil {
		return nil, err
	}
	admin, err := d.adminClient()
	if err != nil {
		return nil, err
	}
	return &Entry{
		Zone: d.Plan.Zones[zone-1], IP: settings.IP,
		Address:       d.addresses.address(zone, octetEntryPublic, n, callerPort),
		DirectAddress: d.addresses.address(zone, octetEntry, n, callerPort),
		PeerAddress:   settings.Peers.Advertise,
		AdminURL:      d.adminScheme() + settings.Admin.Listen,
		adminClient:   admin,
		healthURL:     "http://" + settings.Admin.HealthListen,
		start:         func() (*Process, error) { return d.startProgram(name, "marigold-entry", "run", "--settings", file) },
	}, nil
}

func (d *Deployment) entrySettings(i int) (launcher.Settings, error) {
	zone, n := d.entryZone(i), i+1
	s := launcher.Settings{
		Instance: d.entryName(i),
		Zone:     d.Plan.Zones[zone-1],
		IP:       d.addresses.ip(zone, octetEntry, n),
		MemoryMB: 8 << 10,
		MaxFDs:   10_600,
		Callers: launcher.CallerSettings{
			Listen:        d.addresses.address(zone, octetEntry, n, callerPort),
			TokenKeyFile:  d.tokenKeyFile(),
			DrainLimit:    checker.Duration(10 * time.Second),
			BalancerDelay: checker.Duration(time.Second),

			MaxMessageBytes:    16 << 20,
			MaxUnauthenticated: 1024,
		},
		Peers: launcher.PeerSettings{
			Listen:    d.addresses.address(zone, octetEntry, n, peerPort),
			Advertise: d.addresses.address(zone, octetEntryPublic, n, peerPort),
		},
		Admin: launcher.AdminSettings{
			Listen:       d.addresses.address(zone, octetEntry, n, adminPort),
			HealthListen: d.addresses.address(zone, octetEntry, n, healthPort),
		},
		Store:    launcher.StoreSettings{Endpoint: d.Platform.Endpoint},
		Platform: launcher.PlatformSettings{Endpoint: d.Platform.Endpoint},
		Owners:   launcher.OwnerSettings{GenesisFile: d.OwnersFile()},
		Log:      launcher.LogSettings{Level: "info", Format: "text"},
		Timeline: launcher.TimelineSettings{Events: 4096},
		Experiment: launcher.ExperimentSettings{
			Routing: d.Plan.Routing, Distribution: d.Plan.Distribution,
		},
	}
	for j := range min(3, d.Plan.Entries) {
		s.Peers.Seeds = append(s.Peers.Seeds, d.addresses.address(d.entryZone(j), octetEntryPublic, j+1, peerPort))
	}
	if !d.Plan.TLS {
		return s, nil
	}
	return s, d.addEntryTLS(i, &s)
}
