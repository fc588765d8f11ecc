package querier_test

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/querier"
)

// unlistedServer is a server that is not listed. It implements [querier.Backends],
// [exchanger.Dialer] and [exchanger.Conn].
type unlistedServer struct {
	dialErr, exchangeErr error
	answer               exchanger.Answer
	// recorded are the outcomes of the probes.
	recorded []bool
}

func (s *unlistedServer) Backend(string) *connector.Backend { return nil }

func (s *unlistedServer) RecordUnlisted(_ string, answered bool) {
	s.recorded = append(s.recorded, answered)
}

func (s *unlistedServer) Dial(exchanger.Target, time.Time) (exchanger.Conn, error) {
	return s, s.dialErr
}

func (s *unlistedServer) Exchange(time.Time, ...exchanger.Statement) ([]exchanger.Answer, error) {
	return []exchanger.Answer{s.answer}, s.exchangeErr
}

func (s *unlistedServer) Close() error { return nil }

// Guards against a primary that is replaced as failed although it runs: its entry is missing,
// and it refuses connections or reports, which only a process that runs can do; and against one
// that has failed and counts as running.
func TestUnlistedServerRunsIfItAnswers(t *testing.T) {
	report := exchanger.Answer{Report: &exchanger.Report{}}
	for _, tc := range []struct {
		name string
		srv  unlistedServer
		runs bool
		isOK bool
	}{
		{"reports", unlistedServer{answer: report}, true, true},
		{"refuses the connection", unlistedServer{dialErr: &exchanger.RefusedError{Code: exchanger.TooManyConnections}}, true, false},
		{"refuses to report", unlistedServer{answer: exchanger.Answer{Code: exchanger.Busy}}, true, false},
		{"is not reached", unlistedServer{dialErr: errors.New("no route")}, false, false},
		{"ends the connection", unlistedServer{exchangeErr: io.EOF}, false, false},
	} {
		q := querier.New(querier.Config{Backends: &tc.srv, Dialer: &tc.srv, Clock: clockwork.NewFakeClock(), Metrics: metrics.NewRegistry()})
		_, err := q.Probe(informer.Server{ID: "a"}, exchanger.Statement{Kind: exchanger.Status}, time.Now())
		if len(tc.srv.recorded) != 1 || tc.srv.recorded[0] != tc.runs || (err == nil) != tc.isOK {
			t.Errorf("%s: recorded %v, error %v", tc.name, tc.srv.recorded, err)
		}
	}
}
