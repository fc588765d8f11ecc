package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// maxResponseSize limits a response in bytes. It covers a page of listPage values
// of MaxValueSize in base64.
const maxResponseSize = 96 << 20

// read makes a call that changes nothing. It fails with a ResponseError if the
// service refused the call, and with ErrUnavailable otherwise.
func (g *EtcdClient) read(ctx context.Context, call string, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Timeout)
	defer cancel()
	_, err := g.tryEndpoints(ctx, call, req, resp)
	var refused *ResponseError
	if err == nil || errors.As(err, &refused) && refused.isDefinite() {
		return err
	}
	return fmt.Errorf("%w: %s: %w", ErrUnavailable, call, err)
}

// write makes a call that may change the store. A failure after the request was
// sent is an UnknownOutcomeError, unless the store refused the call.
func (g *EtcdClient) write(ctx context.Context, call string, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Timeout)
	defer cancel()
	sent, err := g.tryEndpoints(ctx, call, req, resp)
	if err == nil {
		return nil
	}
	var refused *ResponseError
	if errors.As(err, &refused) && refused.isDefinite() {
		return err
	}
	if !sent {
		return fmt.Errorf("%w: %s: %w", ErrUnavailable, call, err)
	}
	return &UnknownOutcomeError{Call: call, Cause: err}
}

// tryEndpoints makes the call at the preferred endpoint and goes on to the next
// ones until the request may have been sent to one of them.
func (g *EtcdClient) tryEndpoints(ctx context.Context, call string, req, resp any) (sent bool, err error) {
	body, err := json.Marshal(req)
	if err != nil {
		return false, err
	}
	g.counters.calls[call].Inc(1)
	err = errors.New("no endpoint is configured")
	first := int(g.preferred.Load())
	for i := range g.cfg.Endpoints {
		n := (first + i) % len(g.cfg.Endpoints)
		sent, err = g.post(ctx, g.cfg.Endpoints[n], call, body, resp)
		if err == nil {
			g.preferred.Store(uint32(n))
			return true, nil
		}
		if sent {
			break
		}
	}
	g.counters.errors[call].Inc(1)
	g.preferred.Store(uint32(first + 1))
	return sent, err
}

// post makes the call at one endpoint and reports whether any byte of the request
// may have been sent.
func (g *EtcdClient) post(ctx context.Context, endpoint, call string, body []byte, resp any) (sent bool, err error) {
	hr, sent, err := g.sendRequest(ctx, endpoint, call, body)
	if err != nil {
		return sent, err
	}
	defer hr.Body.Close()
	data, err := io.ReadAll(io.LimitReader(hr.Body, maxResponseSize+1))
	g.counters.receivedBytes.Inc(int64(len(data)))
	if err != nil {
		return true, err
	}
	if len(data) > maxResponseSize {
		return true, ErrTooLarge
	}
	if hr.StatusCode != http.StatusOK {
		return true, newResponseError(call, hr.StatusCode, data)
	}
	return true, json.Unmarshal(data, resp)
}

// sendRequest sends a request and reports whether any byte of it may have been sent.
func (g *EtcdClient) sendRequest(ctx context.Context, endpoint, call string, body []byte) (*http.Response, bool, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+callPaths[call], bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := g.client.Do(req)
	if connected.Load() {
		g.counters.sentBytes.Inc(int64(len(body)))
	}
	return resp, connected.Load(), err
}

func newResponseError(call string, status int, data []byte) error {
	var e errorResponse
	if err := json.Unmarshal(data, &e); err != nil {
		e.Message = fmt.Sprintf("response is not JSON: %.100q", data)
	}
	return &ResponseError{Call: call, Status: status, Code: e.code(), Message: e.text()}
}

// leaseError replaces the response "not found" by ErrLeaseNotFound.
func leaseError(err error) error {
	var refused *ResponseError
	if errors.As(err, &refused) && refused.Code == codeNotFound {
		return ErrLeaseNotFound
	}
	return err
}
