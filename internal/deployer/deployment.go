package deployer

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/keyer"
	"marigoldhub.example/hub/standin/link"
	"marigoldhub.example/hub/standin/platform"
)

// readyTimeout bounds the wait until a started process is ready.
const readyTimeout = 20 * time.Second

// Deployment is a set of running processes: standin-link, the platform, the
// backend servers and the entry instances.
type Deployment struct {
	Plan Plan
	// Dir holds the settings, keys and logs of the processes, and the data of
	// the servers.
	Dir      string
	Links    *Links
	Platform *Platform
	Servers  []*Server
	Entries  []*Entry

	bin       string
	addresses addressScheme
	blockLock io.Closer
	owners    owners
	verifier  string
	ca        *certificateAuthority
	link      *Process
}

// Start starts a deployment with the programs in directory bin and files below
// dir. It returns when the manifest is accepted and every entry instance is
// ready.
func Start(ctx context.Context, plan Plan, bin, dir string) (*Deployment, error) {
	d, err := Prepare(plan, bin, dir)
	if err != nil {
		return nil, err
	}
	if err := d.run(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// Prepare reserves addresses and makes keys. It starts no process: the caller
// does so with [Deployment.StartPlatform] and the methods after it, in the order
// in which [Start] calls them.
func Prepare(plan Plan, bin, dir string) (*Deployment, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	d := &Deployment{Plan: plan, Dir: dir, bin: bin}
	var err error
	if d.addresses, d.blockLock, err = reserveBlock(); err != nil {
		return nil, err
	}
	if d.owners, err = newOwners(); err != nil {
		return nil, err
	}
	if d.verifier, err = scramVerifier(CallerPassword); err != nil {
		return nil, err
	}
	if d.ca, err = newCertificateAuthority(dir); err != nil {
		return nil, err
	}
	return d, d.writeOwnerFiles()
}

func (d *Deployment) run(ctx context.Context) error {
	if err := d.StartPlatform(); err != nil {
		return err
	}
	if err := d.StartServers(); err != nil {
		return err
	}
	if err := d.PublishOwners(ctx); err != nil {
		return err
	}
	if _, err := d.Publish(ctx, d.Manifest()); err != nil {
		return err
	}
	return d.StartEntries()
}

// StartPlatform starts standin-link, and the platform with the store and the
// instance list.
func (d *Deployment) StartPlatform() error {
	if err := d.startLinks(); err != nil {
		return err
	}
	p := &Platform{
		Endpoint:       "http://" + d.addresses.address(0, octetPlatformPublic, 1, storePort),
		DirectEndpoint: "http://" + d.addresses.address(0, octetPlatform, 1, storePort),
		controlURL:     "http://" + d.addresses.address(0, octetPlatform, 1, controlPort),
	}
	var err error
	p.Process, err = d.startProgram("platform", "standin-platform",
		"--listen", d.addresses.address(0, octetPlatform, 1, storePort),
		"--control", d.addresses.address(0, octetPlatform, 1, controlPort))
	if err != nil {
		return err
	}
	d.Platform = p
	return waitFor("platform", readyTimeout, func() error {
		_, err := p.Counts()
		return err
	})
}

// StartServers starts the servers of every group; those in the first zone are
// primaries.
func (d *Deployment) StartServers() error {
	for i := range d.Plan.Groups {
		if err := d.startGroup(i); err != nil {
			return err
		}
	}
	return nil
}

// StartEntries starts all entry instances and waits until they are ready.
func (d *Deployment) StartEntries() error {
	if err := d.LaunchEntries(); err != nil {
		return err
	}
	return d.WaitEntries()
}

// LaunchEntries starts all entry instances without waiting until they are ready,
// and publishes them in the platform's instance list.
func (d *Deployment) LaunchEntries() error {
	for i := range d.Plan.Entries {
		e, err := d.newEntry(i)
		if err != nil {
			return err
		}
		if err := e.Restart(); err != nil {
			return err
		}
		d.Entries = append(d.Entries, e)
	}
	return d.publishInstances()
}

// WaitEntries waits until every entry instance is ready.
func (d *Deployment) WaitEntries() error {
	for _, e := range d.Entries {
		if err := e.WaitReady(readyTimeout); err != nil {
			return errors.Wrapf(err, "see %s", d.logFile(e.Name))
		}
	}
	return nil
}

func (d *Deployment) publishInstances() error {
	var list []platform.Instance
	for _, e := range d.Entries {
		list = append(list, platform.Instance{Name: e.Name, Address: e.PeerAddress, Zone: e.Zone, Kind: "entry", State: "live"})
	}
	for _, s := range d.Servers {
		list = append(list, platform.Instance{Name: s.Name, Address: s.Address, Zone: s.Zone, Kind: "server", State: "live"})
	}
	return d.Platform.SetInstances(list)
}

// ServersOf returns the servers of a group in the order of the zones.
func (d *Deployment) ServersOf(group string) []*Server {
	var list []*Server
	for _, s := range d.Servers {
		if s.Group == group {
			list = append(list, s)
		}
	}
	return list
}

// CallerAddresses returns the public addresses of all entry instances.
func (d *Deployment) CallerAddresses() []string {
	var list []string
	for _, e := range d.Entries {
		list = append(list, e.Address)
	}
	return list
}

// ClientIP returns the IP number that callers connect from.
func (d *Deployment) ClientIP() string { return d.addresses.ip(0, octetClient, 1) }

// Close kills every process and frees the addresses.
func (d *Deployment) Close() {
	var all []*Process
	for _, e := range d.Entries {
		all = append(all, e.Process)
	}
	for _, s := range d.Servers {
		all = append(all, s.Process)
	}
	if d.Platform != nil {
		all = append(all, d.Platform.Process)
	}
	for _, p := range append(all, d.link) {
		if p != nil {
			p.Kill()
		}
	}
	_ = d.blockLock.Close()
}

func (d *Deployment) logFile(name string) string { return filepath.Join(d.Dir, name+".log") }

func (d *Deployment) startProgram(name, program string, args ...string) (*Process, error) {
	return startProcess(name, d.logFile(name), filepath.Join(d.bin, program), args...)
}

// OwnersFile returns the name of the file with the co-owners' public keys.
func (d *Deployment) OwnersFile() string { return filepath.Join(d.Dir, "owners.toml") }

// KeyFile returns the name of a co-owner's private key file, which marigoldctl
// can read. owner is 0 or 1.
func (d *Deployment) KeyFile(owner int) string {
	return filepath.Join(d.Dir, d.owners.list[owner].Name+".key")
}

func (d *Deployment) tokenKeyFile() string { return filepath.Join(d.Dir, "token.key") }

func (d *Deployment) writeOwnerFiles() error {
	if err := os.WriteFile(d.OwnersFile(), []byte(approver.FormatOwners(d.owners.list)), 0o600); err != nil {
		return err
	}
	for n, signer := range d.owners.signers {
		if err := signer.WriteFile(d.KeyFile(n)); err != nil {
			return err
		}
	}
	key := make([]byte, keyer.MinHMACKeyBytes)
	_, _ = rand.Read(key) // Never fails since Go 1.24.
	return os.WriteFile(d.tokenKeyFile(), []byte(base64.StdEncoding.EncodeToString(key)+"\n"), 0o600)
}

func writeTOML(file string, v any) error {
	data, err := toml.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o600)
}

// startLinks starts standin-link, which relays every public address and delays
// traffic between zones.
func (d *Deployment) startLinks() error {
	control := d.addresses.address(0, octetLink, 1, controlPort)
	cfg := link.Config{Control: control, Links: d.allLinks(), Rules: d.delayRules()}
	file := filepath.Join(d.Dir, "links.toml")
	if err := writeTOML(file, cfg); err != nil {
		return err
	}
	var err error
	if d.link, err = d.startProgram("link", "standin-link", "--config", file); err != nil {
		return err
	}
	d.Links = &Links{controlURL: "http://" + control}
	return waitFor("link", readyTimeout, func() error {
		_, err := d.Links.Bytes()
		return err
	})
}
