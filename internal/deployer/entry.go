package deployer

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/reporter"
)

// Entry is an entry instance that was started, with its current process.
type Entry struct {
	*Process
	// Zone is the name of the instance's availability zone.
	Zone string
	// IP is the source IP number of the instance's own connections.
	IP string
	// Address is the public "host:port" for callers.
	Address string
	// DirectAddress is the "host:port" for callers that bypasses standin-link.
	DirectAddress string
	// PeerAddress is the public "host:port" for other instances.
	PeerAddress string
	// AdminURL is the base URL of the administration API.
	AdminURL string

	adminClient *http.Client
	healthURL   string
	start       func() (*Process, error)
}

// Restart starts the instance, again after its process has ended. It kept no
// state.
func (e *Entry) Restart() error {
	p, err := e.start()
	if err != nil {
		return err
	}
	e.Process = p
	return nil
}

// CheckReady returns nil when the health check is positive, so that a balancer
// would send callers to the instance.
func (e *Entry) CheckReady() error {
	resp, err := controlClient.Get(e.healthURL + "/readyz")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s is not ready: %s", e.Name, resp.Status)
	}
	return nil
}

// WaitReady waits until CheckReady returns nil.
func (e *Entry) WaitReady(timeout time.Duration) error { return waitFor(e.Name, timeout, e.CheckReady) }

// Status returns the instance's status from its administration API.
func (e *Entry) Status() (reporter.Status, error) {
	var s reporter.Status
	err := callWith(e.adminClient, "GET", e.AdminURL+"/v1/status", nil, &s)
	return s, err
}

// Timeline returns the events that the instance recorded.
func (e *Entry) Timeline() ([]recorder.Event, error) {
	var events []recorder.Event
	err := callWith(e.adminClient, "GET", e.AdminURL+"/v1/timeline", nil, &events)
	return events, err
}

// Metrics returns the instance's metrics by name.
func (e *Entry) Metrics() (map[string]map[string]float64, error) {
	m := map[string]map[string]float64{}
	err := callWith(e.adminClient, "GET", e.AdminURL+"/v1/metrics", nil, &m)
	return m, err
}
