package registrar

import (
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/storer"
	"marigoldhub.example/hub/internal/storer/storertest"
)

// Guards against instances that start together, list each other once while some are still
// missing, and disagree on the gateways of the servers until the next list 9.5 s later; and
// against a settled fleet that lists as often as one that starts.
func TestListInterval(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name    string
		others  int
		settled time.Duration
		want    time.Duration
	}{
		{"just started", 60, 0, 200 * ms},
		{"unchanged for half a second", 60, 500 * ms, 500 * ms},
		{"unchanged for two seconds", 94, 2000 * ms, 2000 * ms},
		{"settled", 94, time.Minute, 9400 * ms},
		{"settled small fleet", 3, time.Minute, 2000 * ms},
		{"alone", 0, time.Minute, 2000 * ms},
	} {
		if got := listInterval(tc.others, tc.settled); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against frequent lists after each planned stop of a single instance, and against
// rare ones after many instances were lost or have returned.
func TestUnsettlingChanges(t *testing.T) {
	fleet := func(names string, incarnation int64) (out []Instance) {
		for _, name := range names {
			out = append(out, Instance{Name: string(name), Incarnation: incarnation})
		}
		return out
	}
	for _, tc := range []struct {
		name          string
		before, after []Instance
		want          bool
	}{
		{"none", fleet("abcdefgh", 1), fleet("abcdefgh", 1), false},
		{"one left", fleet("abcdefgh", 1), fleet("abcdefg", 1), false},
		{"a quarter left", fleet("abcdefgh", 1), fleet("abcdef", 1), true},
		{"a quarter came", fleet("abcdef", 1), fleet("abcdefgh", 1), true},
		{"all started again", fleet("abcdefgh", 1), fleet("abcdefgh", 2), true},
		{"first list", nil, fleet("abc", 1), true},
		{"one came to one", fleet("a", 1), fleet("ab", 1), false},
	} {
		if got := isUnsettling(tc.before, tc.after); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against frequent lists after the start of a single instance in a fleet that runs,
// and against rare ones when all start.
func TestStartedTogether(t *testing.T) {
	r := &Registrar{cfg: Config{Self: Instance{Incarnation: int64(time.Hour)}}}
	at := func(ages ...time.Duration) (out []Instance) {
		for _, age := range ages {
			out = append(out, Instance{Incarnation: int64(time.Hour - age)})
		}
		return out
	}
	for _, tc := range []struct {
		name   string
		others []Instance
		want   bool
	}{
		{"fleet that runs", at(time.Minute, time.Minute, time.Minute, time.Minute, 10*time.Second), false},
		{"all start", at(100*time.Millisecond, -200*time.Millisecond, 0), true},
		{"one of four starts, too", at(time.Minute, time.Minute, time.Minute, time.Second), true},
		{"one of five starts, too", at(time.Minute, time.Minute, time.Minute, time.Minute, time.Second), false},
		{"clock that jumped", at(-time.Hour/2, -time.Hour/2), false},
	} {
		if got := r.startedTogether(tc.others); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against a failed list after which the next one comes a whole interval later, up to
// 9.5 s in a large fleet.
func TestFailedListIsRepeated(t *testing.T) {
	for _, tc := range []struct {
		name   string
		isDown bool
		// want reports whether another list is due at once.
		want bool
	}{
		{"listed", false, false},
		{"store is down", true, true},
	} {
		clock, store, log := clockwork.NewFakeClock(), storertest.New(), logrus.New()
		log.SetOutput(io.Discard)
		r := &Registrar{
			cfg:   Config{Store: store, Self: Instance{Name: "a"}, Clock: clock, Log: log},
			order: storer.NewListOrder(Prefix, clock, log), listed: clock.Now(), asked: clock.Now(), changed: make(chan struct{}),
		}
		clock.Advance(r.untilList())
		store.SetDown(tc.isDown)
		if err := r.list(t.Context()); (err != nil) != tc.isDown {
			t.Errorf("%s: error %v", tc.name, err)
		}
		if due := r.untilList() <= 0; due != tc.want {
			t.Errorf("%s: the next list is due in %v", tc.name, r.untilList())
		}
	}
}
