package overseer

import (
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/tracker"
)

// unknownAge is the age in microseconds that is sent for an unknown age.
const unknownAge = -1

// encodeView encodes times as ages at now, because clock readings of one process
// have no meaning in another. One microsecond is added to the age of data, so that
// truncation never makes it too low.
func encodeView(v tracker.View, completed []string, now time.Time) *wire.GroupView {
	w := &wire.GroupView{
		Group:                v.Group,
		Seq:                  v.Seq,
		Monitor:              v.Monitor,
		Term:                 v.Term,
		Primary:              v.Primary,
		Lineage:              v.Lineage.String(),
		Draining:             v.Draining,
		Replaced:             v.Replaced,
		CompletedSwitchovers: completed,
	}
	for _, r := range v.Replicas {
		age := int64(unknownAge)
		if d, ok := r.Age(now); ok {
			age = d.Microseconds() + 1
		}
		w.Replicas = append(w.Replicas, &wire.ReplicaView{
			Server:    r.Server,
			Log:       &wire.Position{Term: r.Log.Term, Offset: r.Log.Offset},
			AgeUs:     age,
			SeenUs:    now.Sub(r.SeenAt).Microseconds(),
			Reachable: r.Reachable,
			Leaving:   r.Leaving,
		})
	}
	return w
}

// decodeView converts ages to times before sentAt, the time at which the request
// for the view was sent, so that the age of data is never too low.
func decodeView(w *wire.GroupView, sentAt time.Time) (tracker.View, error) {
	lineage, err := tracker.ParseLineage(w.GetLineage())
	if err != nil {
		return tracker.View{}, err
	}
	v := tracker.View{
		Group:    w.GetGroup(),
		Seq:      w.GetSeq(),
		Monitor:  w.GetMonitor(),
		Term:     w.GetTerm(),
		Primary:  w.GetPrimary(),
		Lineage:  lineage,
		Draining: w.GetDraining(),
		Replaced: w.GetReplaced(),
	}
	for _, r := range w.GetReplicas() {
		view := tracker.ReplicaView{
			Server:    r.GetServer(),
			Log:       tracker.Position{Term: r.GetLog().GetTerm(), Offset: r.GetLog().GetOffset()},
			Reachable: r.GetReachable(),
			Leaving:   r.GetLeaving(),
		}
		if r.GetAgeUs() >= 0 {
			view.FreshAt = sentAt.Add(-time.Duration(r.GetAgeUs()) * time.Microsecond)
			view.SeenAt = sentAt.Add(-time.Duration(r.GetSeenUs()) * time.Microsecond)
		}
		v.Replicas = append(v.Replicas, view)
	}
	return v, nil
}
