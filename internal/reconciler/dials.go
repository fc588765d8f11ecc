package reconciler

import (
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/linker"
)

// dialCounters count the attempts to connect to servers.
type dialCounters struct {
	dials metrics.Counter
	// teamSwitches are connections for which an idle one of another team was closed.
	teamSwitches, teamSwitchesFailed metrics.Counter
}

func newDialCounters(r metrics.Registry) dialCounters {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("dispatcher."+name, r) }
	return dialCounters{dials: c("dials"), teamSwitches: c("team_switches"), teamSwitchesFailed: c("team_switches_failed")}
}

// recordDial counts and logs the outcome of an attempt to connect to the server.
func (r *Reconciler) recordDial(server string, dial linker.Dial) {
	r.dials.dials.Inc(1)
	if dial.Replaces {
		r.dials.teamSwitches.Inc(1)
	}
	if dial.Err == nil {
		return
	}
	if dial.Replaces {
		r.dials.teamSwitchesFailed.Inc(1)
	}
	r.cfg.Log.WithError(dial.Err).WithFields(logrus.Fields{
		"server": server, "team": dial.User, "replaces": dial.Replaces, "took": r.cfg.Clock.Since(dial.Started).String(),
	}).Debug("dispatcher: cannot connect to the backend server")
}
