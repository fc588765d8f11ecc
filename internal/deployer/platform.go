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
	// Direct is the base URL that bypasses standin-link.
	Direct string

	control string
}

// SetDown makes the store refuse every call.
func (p *Platform) SetDown(on bool) error {
	return call("POST", fmt.Sprintf("%s/v1/down?on=%v", p.control, on), nil, nil)
}

// SetSlow delays every answer of the store.
func (p *Platform) SetSlow(d time.Duration) error {
	return call("POST", fmt.Sprintf("%s/v1/slow?delay=%v", p.control, d), nil, nil)
}

// LoseAnswers makes the next n writes take effect without an answer.
func (p *Platform) LoseAnswers(n int) error {
	return call("POST", fmt.Sprintf("%s/v1/lose_answer?count=%d", p.control, n), nil, nil)
}

// SetStale makes reads answer with the state of now.
func (p *Platform) SetStale(on bool) error {
	return call("POST", fmt.Sprintf("%s/v1/stale?on=%v", p.control, on), nil, nil)
}

// Counts returns the calls that the store received.
func (p *Platform) Counts() (platform.Counts, error) {
	var c platform.Counts
	err := call("GET", p.control+"/v1/counts", nil, &c)
	return c, err
}

// SetInstances publishes the platform's list.
func (p *Platform) SetInstances(list []platform.Instance) error {
	return call("PUT", p.Direct+"/v1/instances", list, nil)
}
