package steward

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// maxAnswerSize bounds one answer of an instance.
const maxAnswerSize = 32 << 20

// answer is what one instance returned.
type answer[T any] struct {
	Instance Instance
	Value    T
	Err      error
}

// askInstances sends the request to all instances at once.
func askInstances[T any](ctx context.Context, s Settings, path string) ([]answer[T], error) {
	cfg, err := s.Administration.config()
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{TLSClientConfig: cfg}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	answers := make([]answer[T], len(s.Instances))
	var wg sync.WaitGroup
	for i, instance := range s.Instances {
		wg.Go(func() {
			answers[i].Instance = instance
			answers[i].Err = get(ctx, client, instance.URL+path, &answers[i].Value)
		})
	}
	wg.Wait()
	return answers, nil
}

func get(ctx context.Context, client *http.Client, url string, value any) error {
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
	return json.NewDecoder(io.LimitReader(resp.Body, maxAnswerSize)).Decode(value)
}

// unreachable returns errInstanceUnreachable when an answer is missing.
func unreachable[T any](answers []answer[T]) error {
	for _, a := range answers {
		if a.Err != nil {
			return errInstanceUnreachable
		}
	}
	return nil
}
