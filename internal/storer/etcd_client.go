package storer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	defaultTimeout  = 2 * time.Second
	dialTimeout     = time.Second
	idleConnections = 4
	idleTimeout     = 30 * time.Second
)

// Config configures an EtcdClient.
type Config struct {
	// Endpoints are the base URLs of the JSON gateway, such as
	// "https://127.5.1.1:2379". A call that was certainly not sent to one endpoint
	// is tried at the next.
	Endpoints []string
	// LocalIP is the source address of outgoing connections, if it is valid.
	LocalIP netip.Addr
	// TLS is used for https endpoints. It may be nil.
	TLS *tls.Config
	// Timeout limits every call, and the start of a watch. The default is 2 s.
	Timeout time.Duration
	// Metrics takes the counters of calls and errors by kind. It may be nil.
	Metrics metrics.Registry
}

// EtcdClient is a Store over the etcd v3 JSON gateway.
type EtcdClient struct {
	cfg    Config
	client *http.Client
	// preferred is the index, modulo their number, of the endpoint to try first.
	preferred atomic.Uint32
	counters  counters
}

var _ Store = (*EtcdClient)(nil)

// NewEtcdClient returns a client of the store. It opens no connection yet.
func NewEtcdClient(cfg Config) *EtcdClient {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	if cfg.LocalIP.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(cfg.LocalIP, 0))
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     cfg.TLS,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return &EtcdClient{cfg: cfg, client: &http.Client{Transport: transport}, counters: newCounters(cfg.Metrics)}
}

// Close closes idle connections.
func (g *EtcdClient) Close() { g.client.CloseIdleConnections() }

// Get implements Store.
func (g *EtcdClient) Get(ctx context.Context, key string) (Entry, bool, error) {
	var resp rangeResponse
	if err := g.read(ctx, callRange, rangeRequest{Key: []byte(key)}, &resp); err != nil {
		return Entry{}, false, err
	}
	if len(resp.Entries) == 0 {
		return Entry{}, false, nil
	}
	return resp.Entries[0].entry(), true, nil
}

// listPage limits the keys of one response, so that a response with large values
// arrives within the call's deadline.
const listPage = 64

// List implements Store. All pages are read at the revision of the first.
func (g *EtcdClient) List(ctx context.Context, prefix string) ([]Entry, int64, error) {
	req := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: listPage}
	var entries []Entry
	for {
		var resp rangeResponse
		if err := g.read(ctx, callRange, req, &resp); err != nil {
			return nil, 0, err
		}
		for _, e := range resp.Entries {
			entries = append(entries, e.entry())
		}
		if req.Revision == 0 {
			req.Revision = resp.Header.Revision
		}
		if !resp.More || len(resp.Entries) == 0 {
			return entries, int64(req.Revision), nil
		}
		last := resp.Entries[len(resp.Entries)-1].Key
		req.Key = append(last[:len(last):len(last)], 0)
	}
}

// Commit implements Store.
func (g *EtcdClient) Commit(ctx context.Context, tx Transaction) (Result, error) {
	for _, o := range tx.operations {
		if len(o.value) > MaxValueSize {
			return Result{}, ErrTooLarge
		}
	}
	var resp txnResponse
	if err := g.write(ctx, callTxn, newTxnRequest(tx), &resp); err != nil {
		return Result{}, err
	}
	return Result{Succeeded: resp.Succeeded, Revision: int64(resp.Header.Revision)}, nil
}

// GrantLease implements Store. The TTL is rounded up to whole seconds.
func (g *EtcdClient) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var resp leaseResponse
	if err := g.write(ctx, callLeaseGrant, leaseRequest{TTL: int64Text(seconds)}, &resp); err != nil {
		return 0, err
	}
	return int64(resp.ID), nil
}

// KeepAlive implements Store.
func (g *EtcdClient) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	var resp struct {
		Result leaseResponse `json:"result"`
	}
	if err := g.write(ctx, callLeaseKeepAlive, leaseRequest{ID: int64Text(lease)}, &resp); err != nil {
		return 0, leaseError(err)
	}
	if resp.Result.TTL <= 0 {
		return 0, ErrLeaseNotFound
	}
	return time.Duration(resp.Result.TTL) * time.Second, nil
}

// Revoke implements Store.
func (g *EtcdClient) Revoke(ctx context.Context, lease int64) error {
	var resp leaseResponse
	return leaseError(g.write(ctx, callLeaseRevoke, leaseRequest{ID: int64Text(lease)}, &resp))
}

// prefixEnd returns the first key after all keys with the prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
