package enroller

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	platformTimeout    = time.Second
	maxPlatformBackoff = 10 * time.Second
	// maxPlatformBytes suffices for a list of about 40,000 instances.
	maxPlatformBytes = 4 << 20
)

// platformInstance is one element of GET /v1/instances. Unknown keys are ignored
// because the platform may add some.
type platformInstance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Kind    string `json:"kind"`
	State   string `json:"state"`
}

const (
	kindEntry    = "entry"
	kindServer   = "server"
	stateLeaving = "leaving"
)

// platformMarks are the leaving marks of the newest platform list.
type platformMarks struct {
	// entries is keyed by name and address, so that an outdated mark does not
	// apply to a replacement with the same name.
	entries map[[2]string]bool
	servers map[string]bool
	// listed are the addresses of the entries that are not leaving, isRead is set once a list
	// was read.
	listed []string
	isRead bool
}

func (p platformMarks) entryLeaving(m Member) bool {
	return p.entries[[2]string{m.Instance, m.Address}]
}

// ServerLeaving reports whether the platform's newest list marks the backend
// server as leaving.
func (ms *Membership) ServerLeaving(name string) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.platform.servers[name]
}

// pollPlatform reads the platform's list until the membership is closed. While
// the platform does not answer, the last list stays in use.
func (ms *Membership) pollPlatform() {
	client := ms.cfg.HTTPClient
	if client == nil {
		client = newPlatformClient(ms.cfg.LocalIP)
	}
	defer client.CloseIdleConnections()
	etag := ""
	pause := ms.cfg.PlatformInterval
	for {
		next, err := ms.readPlatform(client, etag)
		if err != nil {
			if ms.ctx.Err() == nil {
				ms.cfg.Log.WithError(err).Warn("enroller: platform list not read")
			}
			pause = min(pause*2, maxPlatformBackoff)
		} else {
			etag, pause = next, ms.cfg.PlatformInterval
		}
		select {
		case <-ms.ctx.Done():
			return
		case <-ms.cfg.Clock.After(pause):
		}
	}
}

func newPlatformClient(localIP net.IP) *http.Client {
	d := &net.Dialer{Timeout: platformTimeout}
	if localIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: localIP}
	}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConns: 1, IdleConnTimeout: time.Minute}}
}

// readPlatform reads the list once and applies it. It returns the entity tag for
// the next request, so that the platform need not send an unchanged list again.
func (ms *Membership) readPlatform(client *http.Client, etag string) (string, error) {
	ctx, cancel := context.WithTimeout(ms.ctx, platformTimeout)
	defer cancel()
	url := strings.TrimSuffix(ms.cfg.PlatformURL, "/") + "/v1/instances"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return etag, nil
	}
	if resp.StatusCode != http.StatusOK {
		return "", errors.Errorf("platform list: status %d", resp.StatusCode)
	}
	instances, err := parsePlatformList(resp.Body)
	if err != nil {
		return "", err
	}
	ms.applyPlatform(instances)
	return resp.Header.Get("ETag"), nil
}

// parsePlatformList returns an error if the list is too long or malformed. It
// omits elements without a name and elements with an overlong field.
func parsePlatformList(body io.Reader) ([]platformInstance, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxPlatformBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read platform list")
	}
	if len(data) > maxPlatformBytes {
		return nil, errors.Errorf("platform list exceeds %d bytes", maxPlatformBytes)
	}
	var all []platformInstance
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, errors.Wrap(err, "parse platform list")
	}
	instances := all[:0]
	for _, i := range all {
		if i.Name != "" && len(i.Name) <= maxNameBytes && len(i.Address) <= maxNameBytes {
			instances = append(instances, i)
		}
	}
	return instances, nil
}

func (ms *Membership) applyPlatform(instances []platformInstance) {
	marks := platformMarks{entries: make(map[[2]string]bool), servers: make(map[string]bool), isRead: true}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	now := ms.cfg.Clock.Now()
	for _, i := range instances {
		leaving := i.State == stateLeaving
		switch {
		case i.Kind == kindServer && leaving:
			marks.servers[i.Name] = true
		case i.Kind == kindEntry && leaving:
			marks.entries[[2]string{i.Name, i.Address}] = true
		case i.Kind == kindEntry && i.Name != ms.self.Instance:
			marks.listed = append(marks.listed, i.Address)
			ms.addPeer(i.Address, false, now)
		}
	}
	ms.platform = marks
	ms.dirty = true
	ms.refresh(now)
}
