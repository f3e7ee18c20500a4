package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/configsync"
	"jujubestile.example/jujubestile/internal/httpstrict"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/store"
)

// Errors that a Client returns besides *Problem.
const (
	// ErrUnreachable means that no instance received the request, or that no
	// instance responded to a read.
	ErrUnreachable = errors.ConstError("no instance can be reached")
	// ErrOutcomeUnknown means that the response was lost and an instance may
	// have executed the request.
	ErrOutcomeUnknown = errors.ConstError("outcome unknown")
)

const (
	// dialTimeout limits a connection attempt to one instance.
	dialTimeout = 2 * time.Second
	// clientTimeout limits one request to one instance. It covers the longest
	// edit and the transfer of the response.
	clientTimeout = EditTimeout + 2*time.Second
	// maxResponseBytes limits a response. The largest is the text of the rules.
	maxResponseBytes = 2*store.MaxValueBytes + 64<<10
)

// Client calls the API of one of several instances: the first that responds.
type Client struct {
	addresses []string
	http      *http.Client
}

// NewClient returns a client for the instances at the given HOST:PORT addresses.
func NewClient(addresses []string) (*Client, error) {
	for _, a := range addresses {
		if _, port, err := net.SplitHostPort(a); err != nil || port == "" {
			return nil, errors.NotValidf("control address %q (HOST:PORT is needed)", a)
		}
	}
	if len(addresses) == 0 {
		return nil, errors.New("no control address given")
	}
	transport := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives: true,
	}
	return &Client{
		addresses: addresses,
		http: &http.Client{
			Transport: httpstrict.Transport(transport),
			Timeout:   clientTimeout,
			// Redirects are not followed; the next instance is tried instead.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Status returns what an instance knows of all instances.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, PathStatus, nil)
}

// Entries returns the entry instances for a caller's address.
func (c *Client) Entries(ctx context.Context, caller string) (Entries, error) {
	return get[Entries](ctx, c, PathEntries, url.Values{"caller": {caller}})
}

// Explain returns how a request would be classified and routed. The caller may be
// empty.
func (c *Client) Explain(ctx context.Context, service, method, path, caller string) (Explanation, error) {
	q := url.Values{"service": {service}, "method": {method}, "path": {path}}
	if caller != "" {
		q.Set("caller", caller)
	}
	return get[Explanation](ctx, c, PathExplain, q)
}

// Rules returns a revision of the rules, or the rules in force for revision 0.
func (c *Client) Rules(ctx context.Context, revision uint64) (Rules, error) {
	q := url.Values{}
	if revision > 0 {
		q.Set("revision", strconv.FormatUint(revision, 10))
	}
	return get[Rules](ctx, c, PathRules, q)
}

// History returns up to limit revisions, the newest first.
func (c *Client) History(ctx context.Context, limit int) (History, error) {
	return get[History](ctx, c, PathHistory, url.Values{"limit": {strconv.Itoa(limit)}})
}

// SetDraining starts or ends the drain of an instance.
func (c *Client) SetDraining(ctx context.Context, id model.InstanceID, draining bool, author string) (DrainReply, error) {
	path := PathUndrain
	if draining {
		path = PathDrain
	}
	return call[DrainReply](ctx, c, http.MethodPost, path, DrainRequest{Instance: id, Author: author})
}

// Edit submits an edit. If necessary it is sent to several instances, which is
// safe because they recognize the edit by its ID.
func (c *Client) Edit(ctx context.Context, q EditRequest) (EditReply, error) {
	return call[EditReply](ctx, c, http.MethodPost, PathRules, q)
}

func get[T any](ctx context.Context, c *Client, path string, q url.Values) (T, error) {
	if len(q) > 0 {
		path += "?" + q.Encode()
	}
	return call[T](ctx, c, http.MethodGet, path, nil)
}

// call sends a request to the instances in turn until one gives a final response.
// This is safe because all requests of the API are idempotent: they read, set a
// state, or carry an edit ID. If no instance gives a final response, call returns
// the error that leaves the outcome most uncertain.
func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var (
		out     T
		lastErr error = ErrUnreachable
		encoded []byte
	)
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return out, errors.Trace(err)
		}
	}
	for _, address := range c.addresses {
		err := c.roundTrip(ctx, method, "http://"+address+path, encoded, &out)
		if err == nil || !shouldTryNext(err) {
			return out, err
		}
		lastErr = moreUncertain(lastErr, err)
		if ctx.Err() != nil {
			break
		}
	}
	return out, lastErr
}

// shouldTryNext reports whether another instance may succeed after this error.
func shouldTryNext(err error) bool {
	var p *Problem
	return !errors.As(err, &p) || p.Status >= 500
}

// moreUncertain returns the error that leaves the outcome more uncertain. The order
// is: the request may have been executed, a problem response, no response from any
// instance. If both errors are equal in this respect, it returns b.
func moreUncertain(a, b error) error {
	rank := func(err error) int {
		var p *Problem
		switch {
		case errors.Is(err, ErrOutcomeUnknown):
			return 2
		case errors.As(err, &p) && p.Outcome == string(configsync.Unknown):
			return 2
		case errors.As(err, &p):
			return 1
		}
		return 0
	}
	if rank(b) >= rank(a) {
		return b
	}
	return a
}

// roundTrip sends one request to one instance and decodes a successful response
// into out. Any other response becomes a *Problem.
func (c *Client) roundTrip(ctx context.Context, method, target string, body []byte, out any) error {
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	if body != nil {
		r.Header.Set("Content-Type", jsonType)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return transportError(method, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return transportError(method, err)
	case len(data) > maxResponseBytes:
		return transportError(method, errors.New("answer too large"))
	case resp.StatusCode == http.StatusOK:
		if err := json.Unmarshal(data, out); err != nil {
			return transportError(method, err)
		}
		return nil
	}
	return responseError(resp, data)
}

// transportError classifies a failure without a readable response. Except for
// reads, only a failed connection attempt proves that the instance did not
// execute the request.
func transportError(method string, err error) error {
	var dial *net.OpError
	if method == http.MethodGet || errors.As(err, &dial) && dial.Op == "dial" {
		return errors.Annotate(ErrUnreachable, err.Error())
	}
	return errors.Annotate(ErrOutcomeUnknown, err.Error())
}

// responseError returns the *Problem of an unsuccessful response.
func responseError(resp *http.Response, data []byte) error {
	p := &Problem{}
	isProblem := strings.HasPrefix(resp.Header.Get("Content-Type"), problemType)
	if !isProblem || json.Unmarshal(data, p) != nil {
		p = &Problem{Title: resp.Status, Detail: fmt.Sprintf("answer %s", resp.Status)}
	}
	p.Status = resp.StatusCode
	return p
}
