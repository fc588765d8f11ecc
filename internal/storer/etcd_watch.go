package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Watch implements Store.
func (g *EtcdClient) Watch(ctx context.Context, prefix string, from int64) (*Watch, error) {
	ctx, cancel := context.WithCancel(ctx)
	body, err := json.Marshal(watchRequest{Create: watchCreate{
		Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: int64Text(from), ProgressNotify: true,
	}})
	if err != nil {
		cancel()
		return nil, err
	}
	// The deadline covers only the time until the store confirms the watch.
	expired := time.AfterFunc(g.cfg.Timeout, cancel)
	s, err := g.openWatch(ctx, body)
	if err != nil || !expired.Stop() {
		cancel()
		g.counters.errors[callWatch].Inc(1)
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, errors.Join(err, ctx.Err()))
	}
	return NewWatch(ctx, func(ctx context.Context, send func(Batch) error) error {
		// Cancels a pending read from the stream when the watch is closed.
		defer context.AfterFunc(ctx, cancel)()
		defer cancel()
		defer s.body.Close()
		return s.forward(send)
	}), nil
}

// watchStream is the response body of a watch.
type watchStream struct {
	body    io.ReadCloser
	decoder *json.Decoder
}

func (g *EtcdClient) openWatch(ctx context.Context, body []byte) (*watchStream, error) {
	g.counters.calls[callWatch].Inc(1)
	if len(g.cfg.Endpoints) == 0 {
		return nil, errors.New("no endpoint is configured")
	}
	n := int(g.preferred.Load()) % len(g.cfg.Endpoints)
	resp, _, err := g.sendRequest(ctx, g.cfg.Endpoints[n], callWatch, body)
	if err != nil {
		g.preferred.Store(uint32(n + 1))
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorSize))
		return nil, newResponseError(callWatch, resp.StatusCode, data)
	}
	s := &watchStream{body: countingBody{resp.Body, g.counters}, decoder: nil}
	s.decoder = json.NewDecoder(s.body)
	if err := s.awaitCreated(); err != nil {
		s.body.Close()
		return nil, err
	}
	return s, nil
}

// maxErrorSize limits the body of an error response in bytes.
const maxErrorSize = 64 << 10

func (s *watchStream) awaitCreated() error {
	r, err := s.next()
	if err != nil {
		return err
	}
	if !r.Created {
		return errors.New("service did not confirm the watch")
	}
	return nil
}

// forward sends the batches of the responses until the stream ends.
func (s *watchStream) forward(send func(Batch) error) error {
	for {
		r, err := s.next()
		if err != nil {
			return err
		}
		if err := send(r.batch()); err != nil {
			return err
		}
	}
}

func (s *watchStream) next() (watchResponse, error) {
	var m watchMessage
	if err := s.decoder.Decode(&m); err != nil {
		return watchResponse{}, fmt.Errorf("%w: %w", ErrWatchClosed, err)
	}
	switch r := m.Result; {
	case m.Error != nil:
		return r, fmt.Errorf("%w: %s", ErrWatchClosed, m.Error.text())
	case r.CompactRevision > 0:
		return r, &CompactedError{Revision: int64(r.CompactRevision)}
	case r.Canceled:
		return r, fmt.Errorf("%w: %s", ErrWatchClosed, r.CancelReason)
	default:
		return r, nil
	}
}

// countingBody counts the bytes received by a watch.
type countingBody struct {
	io.ReadCloser
	counters counters
}

func (b countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.counters.receivedBytes.Inc(int64(n))
	return n, err
}
