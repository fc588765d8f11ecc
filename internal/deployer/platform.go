package deployer

import (
	"fmt"
	"time"

	"marigoldhub.example/hub/standin/platform"
)

// Platform is the started store and instance list.
type Platform struct {
	*Process
	// Endpoint is the public base URL.
	Endpoint string
	// DirectEndpoint is the base URL that bypasses standin-link.
	DirectEndpoint string

	controlURL string
}

// SetDown makes the store refuse every call.
func (p *Platform) SetDown(on bool) error {
	return call("POST", fmt.Sprintf("%s/v1/down?on=%v", p.controlURL, on), nil, nil)
}

// SetResponseDelay delays every answer of the store.
func (p *Platform) SetResponseDelay(d time.Duration) error {
	return call("POST", fmt.Sprintf("%s/v1/slow?delay=%v", p.controlURL, d), nil, nil)
}

// LoseResponses makes the next n writes take effect without an answer.
func (p *Platform) LoseResponses(n int) error {
	return call("POST", fmt.Sprintf("%s/v1/lose_answer?count=%d", p.controlURL, n), nil, nil)
}

// SetStale makes reads answer with the state of now.
func (p *Platform) SetStale(on bool) error {
	return call("POST", fmt.Sprintf("%s/v1/stale?on=%v", p.controlURL, on), nil, nil)
}

// Counts returns the calls that the store received.
func (p *Platform) Counts() (platform.Counts, error) {
	var c platform.Counts
	err := call("GET", p.controlURL+"/v1/counts", nil, &c)
	return c, err
}

// SetInstances publishes the platform's list.
func (p *Platform) SetInstances(list []platform.Instance) error {
	return call("PUT", p.DirectEndpoint+"/v1/instances", list, nil)
}
