package noder

import (
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/surveyor"
	"marigoldhub.example/hub/internal/tracker"
)

// Waits implements [gossiper.View].
func (v view) Waits() []*wire.ServerWait {
	<-v.built
	v.surveyor.Learn(v.dispatcher.Waits())
	var out []*wire.ServerWait
	for _, r := range v.surveyor.Reports() {
		out = append(out, encodeWait(r))
	}
	return out
}

// LearnWaits implements [gossiper.View].
func (v view) LearnWaits(waits []*wire.ServerWait) {
	<-v.built
	reports := make([]surveyor.Report, 0, len(waits))
	for _, w := range waits {
		reports = append(reports, decodeWait(w))
	}
	v.surveyor.Learn(reports)
}

func encodeWait(r surveyor.Report) *wire.ServerWait {
	w := &wire.ServerWait{Server: r.Server, WaitUs: uint64(r.Wait.Microseconds()), AgeUs: uint64(r.Age.Microseconds())}
	if !r.Position.IsZero() {
		w.Position = &wire.Position{Term: r.Position.Term, Offset: r.Position.Offset}
		w.PositionAgeUs = uint64(r.PositionAge.Microseconds())
	}
	return w
}

// decodeWait ignores a time that is longer than any report counts: the message is wrong.
func decodeWait(w *wire.ServerWait) surveyor.Report {
	micros := func(n uint64) time.Duration {
		return time.Duration(min(n, uint64(time.Hour.Microseconds()))) * time.Microsecond
	}
	return surveyor.Report{
		Server: w.GetServer(), Wait: micros(w.GetWaitUs()), Age: micros(w.GetAgeUs()),
		Position:    tracker.Position{Term: w.GetPosition().GetTerm(), Offset: w.GetPosition().GetOffset()},
		PositionAge: micros(w.GetPositionAgeUs()),
	}
}
