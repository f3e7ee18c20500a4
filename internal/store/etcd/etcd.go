// Package etcd implements store.Store over the JSON form of the etcd v3 API,
// as published in etcd's documentation ("Why gRPC gateway").
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/store"
)

const (
	// callTimeout bounds one call that is not a watch.
	callTimeout = 2 * time.Second
	// maxResponseBytes bounds a response: a listing of several values in
	// base64.
	maxResponseBytes = 16 << 20
	// dialTimeout bounds setting up a connection.
	dialTimeout = time.Second
)

// Client is a store.Store. Its methods may be called concurrently.
type Client struct {
	base string
	http *http.Client
}

var _ store.Store = (*Client)(nil)

// New returns a client of the store at base, for example
// "http://10.0.0.5:2379".
func New(base string) *Client {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{base: base, http: &http.Client{Transport: t}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.KeyValue, error) {
	var resp RangeResponse
	if err := c.call(ctx, PathRange, RangeRequest{Key: []byte(key)}, &resp); err != nil {
		return store.KeyValue{}, err
	}
	if len(resp.KVs) == 0 {
		return store.KeyValue{Key: key}, store.ErrNotFound
	}
	return fromWire(resp.KVs[0]), nil
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.KeyValue, error) {
	var resp RangeResponse
	req := RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := c.call(ctx, PathRange, req, &resp); err != nil {
		return nil, err
	}
	out := make([]store.KeyValue, 0, len(resp.KVs))
	for _, kv := range resp.KVs {
		out = append(out, fromWire(kv))
	}
	return out, nil
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.SwapResult, error) {
	if len(value) > store.MaxValueBytes {
		return store.SwapResult{}, store.ErrTooLarge
	}
	k := []byte(key)
	read := RequestOp{Range: &RangeRequest{Key: k}}
	write := RequestOp{Put: &PutRequest{Key: k, Value: value, Lease: Int64(lease)}}
	if value == nil {
		write = RequestOp{Delete: &DeleteRequest{Key: k}}
	}
	req := TxnRequest{
		Compare: []Compare{{Key: k, Target: "MOD", Result: "EQUAL", ModRevision: Int64(expected)}},
		Success: []RequestOp{write, read},
		Failure: []RequestOp{read},
	}
	var resp TxnResponse
	if err := c.call(ctx, PathTxn, req, &resp); err != nil {
		return store.SwapResult{}, err
	}
	return swapResult(key, resp), nil
}

func swapResult(key string, resp TxnResponse) store.SwapResult {
	out := store.SwapResult{Swapped: resp.Succeeded, Current: store.KeyValue{Key: key}}
	for _, r := range resp.Responses {
		if r.Range != nil && len(r.Range.KVs) > 0 {
			out.Current = fromWire(r.Range.KVs[0])
		}
	}
	return out
}

// Grant implements store.Store. The time to live is rounded up to seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	seconds := (ttl + time.Second - 1) / time.Second
	var resp LeaseResponse
	if err := c.call(ctx, PathGrant, LeaseRequest{TTL: Int64(seconds)}, &resp); err != nil {
		return 0, err
	}
	return store.LeaseID(resp.ID), nil
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	var resp KeepAliveMessage
	if err := c.call(ctx, PathKeepAlive, LeaseRequest{ID: Int64(lease)}, &resp); err != nil {
		return err
	}
	if resp.Result.TTL <= 0 {
		return store.ErrLeaseExpired
	}
	return nil
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, lease store.LeaseID) error {
	return c.call(ctx, PathRevoke, LeaseRequest{ID: Int64(lease)}, &struct{}{})
}

// Watch implements store.Store. It reads the key first, because the store may
// have dropped the events since the revision, or may have been restored to a
// smaller one.
func (c *Client) Watch(ctx context.Context, key string, after store.Revision) (store.KeyValue, error) {
	kv, err := c.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return store.KeyValue{}, err
	}
	if kv.Revision > after {
		return kv, nil
	}
	req := WatchRequest{Create: WatchCreate{Key: []byte(key), StartRevision: Int64(after + 1)}}
	resp, err := c.post(ctx, PathWatch, req)
	if err != nil {
		return store.KeyValue{}, err
	}
	defer resp.Body.Close()
	return readWatch(ctx, key, resp.Body)
}

func readWatch(ctx context.Context, key string, body io.Reader) (store.KeyValue, error) {
	dec := json.NewDecoder(body)
	for {
		var m WatchMessage
		if err := dec.Decode(&m); err != nil {
			return store.KeyValue{}, unavailable(ctx, err)
		}
		if m.Result.Canceled {
			return store.KeyValue{}, store.ErrUnavailable
		}
		if n := len(m.Result.Events); n > 0 {
			kv := fromWire(m.Result.Events[n-1].KV)
			kv.Key = key
			return kv, nil
		}
	}
}

// call posts one request and decodes its response.
func (c *Client) call(ctx context.Context, path string, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.post(ctx, path, req)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if err := json.NewDecoder(io.LimitReader(r.Body, maxResponseBytes)).Decode(resp); err != nil {
		return unavailable(ctx, err)
	}
	return nil
}

func (c *Client) post(ctx context.Context, path string, req any) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport never sends a request again by itself.
	r.GetBody = nil
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, unavailable(ctx, err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, statusError(resp)
}

func statusError(resp *http.Response) error {
	var e struct {
		Message string `json:"message"`
	}
	body, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	_ = json.Unmarshal(body, &e)
	if resp.StatusCode == http.StatusNotFound {
		return store.ErrLeaseExpired
	}
	return errors.Annotatef(store.ErrUnavailable, "status %d: %s", resp.StatusCode, e.Message)
}

// unavailable keeps the context's own error, so that a caller can tell its
// deadline from an outage.
func unavailable(ctx context.Context, err error) error {
	if ctx.Err() == context.Canceled {
		return ctx.Err()
	}
	return errors.Annotatef(store.ErrUnavailable, "%v", err)
}

func fromWire(kv KeyValue) store.KeyValue {
	return store.KeyValue{Key: string(kv.Key), Value: kv.Value, Revision: store.Revision(kv.ModRevision)}
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
