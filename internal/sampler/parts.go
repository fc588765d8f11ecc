package sampler

import (
	"context"
	"fmt"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/deployer"
)

var (
	// partCounts are numbers of parts without a group of their own, from one
	// on which is the part of the installation.
	partCounts = []int{1, 4, 16, 64}
	// groupPartCounts are numbers of further parts with a group each.
	groupPartCounts = []int{0, 24}
)

// rulesPerPart is the number of read rules of a further part with a group.
const rulesPerPart = 10

// measureParts measures an installation of eight instances over the number of
// manifest parts.
func (s *Sampler) measureParts(ctx context.Context) error {
	return s.withDeployment(ctx, deployer.Council().WithGroups(callerGroup), func(d *deployer.Deployment) error {
		if err := s.emptyParts(ctx, d); err != nil {
			return err
		}
		return s.groupParts(ctx, d)
	})
}

// emptyParts adds parts that only cost bookkeeping.
func (s *Sampler) emptyParts(ctx context.Context, d *deployer.Deployment) error {
	c := &curves{per: "part"}
	have := 1
	for _, n := range partCounts {
		for ; have < n; have++ {
			part := checker.Manifest{Part: fmt.Sprintf("empty%d", have), Groups: []checker.Group{}}
			if _, err := d.Publish(ctx, part); err != nil {
				return err
			}
		}
		w, err := s.partWindow(ctx, c, "parts_", n, d)
		if err != nil {
			return err
		}
		c.addStore("parts_idle_", float64(n), w)
	}
	c.printTo(s)
	return nil
}

// groupParts adds parts with one group each, whose only server refuses
// connections.
func (s *Sampler) groupParts(ctx context.Context, d *deployer.Deployment) error {
	c := &curves{per: "part"}
	have := 0
	for _, n := range groupPartCounts {
		for ; have < n; have++ {
			if _, err := d.Publish(ctx, refusedPart(d, have)); err != nil {
				return err
			}
		}
		if _, err := s.partWindow(ctx, c, "parts_with_refused_group_", n, d); err != nil {
			return err
		}
	}
	c.printTo(s)
	return nil
}

func (s *Sampler) partWindow(ctx context.Context, c *curves, prefix string, n int, d *deployer.Deployment) (window, error) {
	w, err := observe(ctx, d, shortIdleTime, idle)
	if err != nil {
		return w, err
	}
	c.addIdle(prefix+"idle_", float64(n), w)
	memory, err := meanResidentKB(d)
	c.add(prefix+"memory_kb", "KB", float64(n), memory)
	return w, err
}

// refusedPart returns a part with a group whose server address belongs to an
// entry instance, which listens on no such port.
func refusedPart(d *deployer.Deployment, n int) checker.Manifest {
	name := fmt.Sprintf("refused%d", n)
	e := d.Entries[n%len(d.Entries)]
	m := checker.Manifest{Part: name, Groups: []checker.Group{{
		Name: name, Database: name, ServerUser: "marigold",
		Servers: []checker.Server{{Name: name, Address: e.IP + ":1", Zone: e.Zone, ConnectionLimit: d.Plan.ConnectionLimit}},
	}}}
	for i := range rulesPerPart {
		m.Reads = append(m.Reads, checker.ReadRule{
			Name: fmt.Sprintf("rule%d", i), Group: name, Tables: []string{fmt.Sprintf("table%d", i)},
			MaxAge: checker.Duration(d.Plan.MaxAge),
		})
	}
	return m
}
