package launcher

import (
	"time"

	"marigoldhub.example/hub/internal/allocator"
	"marigoldhub.example/hub/internal/charger"
	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/distributor"
	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/throttler"
)

// quotaSource implements [throttler.QuotaSource] with the manifests in force.
type quotaSource struct {
	*distributor.Distributor
	source *allocator.Source[checker.Catalog]
}

func newQuotaSource(d *distributor.Distributor) quotaSource {
	return quotaSource{d, allocator.NewSource(func(c *checker.Catalog) *allocator.Quotas {
		quotas := map[string]allocator.Quota{}
		for _, t := range c.Teams() {
			quotas[t.Name] = allocator.Quota{RatePerSecond: t.RatePerSecond, Burst: t.Burst}
		}
		return allocator.NewQuotas(quotas)
	})}
}

// Quotas implements [throttler.QuotaSource].
func (s quotaSource) Quotas() *allocator.Quotas { return s.source.Quotas(s.Catalog()) }

// readyQuotas returns the quotas in force; nil while this instance may lack parts, whose teams
// it would take for ones without a quota.
func (s quotaSource) readyQuotas() *allocator.Quotas {
	if ready, _ := s.Ready(); !ready {
		return nil
	}
	return s.Quotas()
}

// quotaGate implements [charger.Quotas].
type quotaGate struct{ *throttler.Throttler }

// Admit implements [charger.Quotas].
func (g quotaGate) Admit(team string, deadline time.Time) (charger.Operation, error) {
	return g.Throttler.Admit(team, deadline)
}

// startQuotas starts the parts that keep teams within their quotas.
func (i *Instance) startQuotas() {
	s := i.settings.Quotas
	budget := allocator.Budget{Window: time.Duration(s.Window), Excess: s.Excess, Slack: s.Slack}
	quotas := newQuotaSource(i.distributor)
	i.allocator = allocator.New(allocator.Config{
		Quotas: quotas.readyQuotas, Budget: budget, Instances: i.fleetSize, Clock: i.clock, Metrics: i.registry, Log: i.componentLog("allocator"),
	})
	i.throttler = throttler.New(throttler.Config{
		Instance: i.settings.Instance, Quotas: quotas, Budget: budget,
		Instances: i.quotaInstances, FleetSize: i.fleetSize, InstancesKnown: i.isFleetKnown, InstancesChanged: i.membership.Changed,
		Client: throttler.PeerClient{Instance: i.settings.Instance, Allocator: i.allocator, Dialer: i.peers},
		Clock:  i.clock, Metrics: i.registry, Log: i.componentLog("throttler"),
	})
}

// quotaInstances returns the members, which may allocate quotas.
func (i *Instance) quotaInstances() []placer.Peer {
	members := i.membership.Members()
	peers := make([]placer.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, placer.Peer{Name: m.Instance, Zone: m.Zone, Address: m.Address})
	}
	return peers
}

func (i *Instance) fleetSize() int {
	n, _ := i.membership.FleetSize()
	return n
}

func (i *Instance) isFleetKnown() bool {
	_, known := i.membership.FleetSize()
	return known
}
