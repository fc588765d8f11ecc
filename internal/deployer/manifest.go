package deployer

import (
	"context"
	"crypto/ed25519"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/storer"
)

// Credentials of the only caller in the manifest of a deployment.
const (
	CallerName     = "portal"
	CallerPassword = "portal-password"
)

// owners are the two co-owners of a deployment with their private keys.
type owners struct {
	list    []approver.Owner
	signers []approver.Signer
}

func newOwners() (owners, error) {
	var o owners
	for _, name := range []string{"registrar", "steward"} {
		public, private, err := ed25519.GenerateKey(nil)
		if err != nil {
			return o, err
		}
		o.list = append(o.list, approver.Owner{Name: name, Keys: []approver.OwnerKey{approver.NewOwnerKey(public)}})
		o.signers = append(o.signers, approver.NewSigner(private))
	}
	return o, nil
}

// Manifest returns a manifest that names the servers that were started.
func (d *Deployment) Manifest() checker.Manifest {
	m := checker.Manifest{Part: d.Plan.Customer}
	for _, group := range d.Plan.Groups {
		g := checker.Group{Name: group, Database: group, ServerUser: "marigold"}
		for _, s := range d.ServersOf(group) {
			g.Servers = append(g.Servers, checker.Server{
				Name: s.Name, Address: s.Address, Zone: s.Zone, ConnectionLimit: d.Plan.ConnectionLimit,
			})
		}
		m.Groups = append(m.Groups, g)
		m.Reads = append(m.Reads, checker.ReadRule{
			Name: "browse_" + group, Group: group, Tables: []string{"catalogue"}, MaxAge: checker.Duration(d.Plan.MaxAge),
		})
	}
	m.Callers = []checker.Caller{{
		Name: CallerName, Groups: d.Plan.Groups, ScramVerifier: d.verifier, ConnectionLimit: 5000, PinnedLimit: 2,
		TLSRequired: d.Plan.TLS,
	}}
	return m
}

// Publish writes the manifest to [Deployment.ManifestFile], proposes it and
// approves it as both co-owners. It returns the time after the second approval
// was stored.
func (d *Deployment) Publish(ctx context.Context, m checker.Manifest) (time.Time, error) {
	content, err := toml.Marshal(m)
	if err != nil {
		return time.Time{}, err
	}
	if err := os.WriteFile(d.ManifestFile(), content, 0o600); err != nil {
		return time.Time{}, err
	}
	err = d.proposeAndApprove(ctx, m.Part, content, func(Stage) {})
	return time.Now(), err
}

// Stage is a stage of a manifest change.
type Stage int

// Stages in their order: proposed, approved by one co-owner, and accepted, that
// is approved by both.
const (
	Proposed Stage = iota + 1
	ApprovedOnce
	Accepted
)

// PublishStaged proposes and approves the manifest like Publish and calls
// reached after each stage. It writes no file.
func (d *Deployment) PublishStaged(ctx context.Context, m checker.Manifest, reached func(Stage)) error {
	content, err := toml.Marshal(m)
	if err != nil {
		return err
	}
	return d.proposeAndApprove(ctx, m.Part, content, reached)
}

// PublishOwners publishes the first revision of the owners part, which names the
// same keys as the genesis file.
func (d *Deployment) PublishOwners(ctx context.Context) error {
	return d.proposeAndApprove(ctx, checker.OwnersPart, []byte(approver.FormatOwners(d.owners.list)), func(Stage) {})
}

// proposeAndApprove proposes content and approves it as both co-owners.
func (d *Deployment) proposeAndApprove(ctx context.Context, part string, content []byte, reached func(Stage)) error {
	return d.proposeAndApproveIn(ctx, d.operatorStore(), part, content, reached)
}

// operatorStore returns a client of the store that bypasses standin-link.
func (d *Deployment) operatorStore() storer.Store {
	return storer.NewEtcdClient(storer.Config{Endpoints: []string{d.Platform.DirectEndpoint}})
}

// proposeAndApproveIn is proposeAndApprove with the given client of the store.
func (d *Deployment) proposeAndApproveIn(ctx context.Context, store storer.Store, part string, content []byte, reached func(Stage)) error {
	proposals, err := approver.NewProposals(approver.Config{Store: store, Genesis: d.owners.list, Operator: "deployer"})
	if err != nil {
		return err
	}
	if _, _, err := proposals.Propose(ctx, part, content); err != nil {
		return errors.Wrap(err, "propose")
	}
	reached(Proposed)
	for n, signer := range d.owners.signers {
		review, err := proposals.Review(ctx, part)
		if err != nil {
			return errors.Wrap(err, "review")
		}
		if _, err := proposals.Approve(ctx, review, signer); err != nil {
			return errors.Wrap(err, "approve")
		}
		reached(ApprovedOnce + Stage(n))
	}
	return nil
}

// ManifestFile returns the name of the file with the manifest that Publish wrote
// last.
func (d *Deployment) ManifestFile() string { return filepath.Join(d.Dir, d.Plan.Customer+".toml") }
