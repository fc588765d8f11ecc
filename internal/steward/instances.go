package steward

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// maxResponseBytes bounds the response of one instance.
const maxResponseBytes = 32 << 20

// response is what one instance returned.
type response[T any] struct {
	Instance Instance
	Value    T
	Err      error
}

// queryInstances sends a GET request for the path to all instances at once.
func queryInstances[T any](ctx context.Context, s Settings, path string) ([]response[T], error) {
	cfg, err := s.Administration.config()
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{TLSClientConfig: cfg}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	responses := make([]response[T], len(s.Instances))
	var wg sync.WaitGroup
	for i, instance := range s.Instances {
		wg.Go(func() {
			responses[i].Instance = instance
			responses[i].Err = getJSON(ctx, client, instance.URL+path, &responses[i].Value)
		})
	}
	wg.Wait()
	return responses, nil
}

func getJSON(ctx context.Context, client *http.Client, url string, value any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(value)
}

// checkReachable returns errInstanceUnreachable when a response is missing.
func checkReachable[T any](responses []response[T]) error {
	for _, r := range responses {
		if r.Err != nil {
			return errInstanceUnreachable
		}
	}
	return nil
}
