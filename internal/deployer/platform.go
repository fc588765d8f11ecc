package deployer

import (
	"fmt"
	"time"

	"marigoldhub.example/hub/standin/platform"
)

// Platform is the process with the store and the instance list.
type Platform struct {
	*Process
	// Endpoint is the public base URL of the store and the instance list.
	Endpoint string
	// DirectEndpoint is the base URL that bypasses standin-link.
	DirectEndpoint string

	controlURL string
}

// SetDown makes the store refuse every call.
func (p *Platform) SetDown(on bool) error {
	return call("POST", fmt.Sprintf("%s/v1/down?on=%v", p.controlURL, on), nil, nil)
}

// SetResponseDelay delays every response of the store.
func (p *Platform) SetResponseDelay(d time.Duration) error {
	return call("POST", fmt.Sprintf("%s/v1/slow?delay=%v", p.controlURL, d), nil, nil)
}

// LoseResponses makes the next n writes take effect without a response.
func (p *Platform) LoseResponses(n int) error {
	return call("POST", fmt.Sprintf("%s/v1/lose_answer?count=%d", p.controlURL, n), nil, nil)
}

// SetStale makes reads return the state at the time of this call until it is
// unset.
func (p *Platform) SetStale(on bool) error {
	return call("POST", fmt.Sprintf("%s/v1/stale?on=%v", p.controlURL, on), nil, nil)
}

// Counts returns the number of calls that the store received, by kind.
func (p *Platform) Counts() (platform.Counts, error) {
	var c platform.Counts
	err := call("GET", p.controlURL+"/v1/counts", nil, &c)
	return c, err
}

// SetInstances replaces the platform's instance list.
func (p *Platform) SetInstances(list []platform.Instance) error {
	return call("PUT", p.DirectEndpoint+"/v1/instances", list, nil)
}
