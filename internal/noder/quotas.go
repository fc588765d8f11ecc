package noder

import (
	"marigoldhub.example/hub/internal/allocator"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/throttler"
)

// quotaSource implements [throttler.QuotaSource] with the platform's configuration.
type quotaSource struct {
	*informer.Informer
	source *allocator.Source[informer.Configuration]
}

func newQuotaSource(i *informer.Informer) quotaSource {
	return quotaSource{i, allocator.NewSource(func(c *informer.Configuration) *allocator.Quotas {
		quotas := map[string]allocator.Quota{}
		for name, t := range c.Teams {
			quotas[name] = allocator.Quota{RatePerSecond: t.RatePerSecond, Burst: t.Burst}
		}
		return allocator.NewQuotas(quotas).WithVersion(c.Version)
	})}
}

// Quotas implements [throttler.QuotaSource].
func (s quotaSource) Quotas() *allocator.Quotas { return s.source.Quotas(s.State().Configuration) }

// startQuotas starts the parts that keep teams within their quotas.
func (n *Node) startQuotas() {
	budget := allocator.Budget{Window: n.settings.QuotaWindow, Excess: n.settings.QuotaExcess, Slack: n.settings.QuotaSlack}
	quotas := newQuotaSource(n.informer)
	n.allocator = allocator.New(allocator.Config{
		Quotas: quotas.Quotas, Budget: budget, Instances: n.fleetSize, Clock: n.clock, Metrics: n.metrics, Log: n.log,
	})
	n.throttler = throttler.New(throttler.Config{
		Instance: n.settings.Instance, Quotas: quotas, Budget: budget,
		Instances: n.instances, InstancesKnown: n.registrar.HasList, InstancesChanged: n.registrar.Changed,
		Client: throttler.PeerClient{Instance: n.settings.Instance, Allocator: n.allocator, Dialer: n.peers},
		Clock:  n.clock, Metrics: n.metrics, Log: n.log,
	})
}
