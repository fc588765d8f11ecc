package deployer

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

var controlClient = &http.Client{Timeout: 5 * time.Second}

// call sends a request to a control port and decodes a JSON response into out,
// unless out is nil.
func call(method, url string, body, out any) error {
	return callWith(controlClient, method, url, body, out)
}

func callWith(client *http.Client, method, url string, body, out any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, url, reader)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return errors.Errorf("%s %s: %s: %s", method, url, resp.Status, text)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// waitFor calls check until it succeeds, at most for the given time. what names
// the awaited state in the error.
func waitFor(what string, timeout time.Duration, check func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "%s not ready within %v", what, timeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
