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
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/store"
)

// Errors of a Client besides *Problem.
const (
	// ErrUnreachable means that no instance got the request.
	ErrUnreachable = errors.ConstError("no instance can be reached")
	// ErrOutcomeUnknown means that an instance may have carried out a request
	// whose answer was lost.
	ErrOutcomeUnknown = errors.ConstError("outcome unknown")
)

const (
	// dialTimeout bounds a connection attempt to one instance.
	dialTimeout = 2 * time.Second
	// clientTimeout bounds one request. It leaves an edit its time and the
	// answer its way.
	clientTimeout = EditTimeout + 2*time.Second
	// maxAnswerBytes bounds an answer. The largest is the rules in force.
	maxAnswerBytes = 2*store.MaxValueBytes + 64<<10
)

// Client calls the first of several instances that answers.
type Client struct {
	addresses []string
	http      *http.Client
}

// NewClient returns a client of instances at HOST:PORT addresses.
func NewClient(addresses []string) (*Client, error) {
	for _, a := range addresses {
		if _, port, err := net.SplitHostPort(a); err != nil || port == "" {
			return nil, errors.NotValidf("control address %q (HOST:PORT is needed)", a)
		}
	}
	if len(addresses) == 0 {
		return nil, errors.New("no control address is given")
	}
	transport := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives: true,
	}
	return &Client{
		addresses: addresses,
		http: &http.Client{
			Transport: transport,
			Timeout:   clientTimeout,
			// Another instance is tried instead of a redirect.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Status returns what an instance knows of all.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, PathStatus, nil)
}

// Entries returns the entry instances for a caller's address.
func (c *Client) Entries(ctx context.Context, caller string) (Entries, error) {
	return get[Entries](ctx, c, PathEntries, url.Values{"caller": {caller}})
}

// Explain returns what would become of a request. The caller may be empty.
func (c *Client) Explain(ctx context.Context, service, method, path, caller string) (Explanation, error) {
	q := url.Values{"service": {service}, "method": {method}, "path": {path}}
	if caller != "" {
		q.Set("caller", caller)
	}
	return get[Explanation](ctx, c, PathExplain, q)
}

// Rules returns a revision of the rules, or those in force for revision 0.
func (c *Client) Rules(ctx context.Context, revision uint64) (Rules, error) {
	q := url.Values{}
	if revision > 0 {
		q.Set("revision", strconv.FormatUint(revision, 10))
	}
	return get[Rules](ctx, c, PathRules, q)
}

// History returns up to limit earlier revisions.
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

// Edit writes an edit. It is sent to several instances if need be, which is
// safe, as the edit id makes it the same edit.
func (c *Client) Edit(ctx context.Context, q EditRequest) (EditReply, error) {
	return call[EditReply](ctx, c, http.MethodPost, PathRules, q)
}

func get[T any](ctx context.Context, c *Client, path string, q url.Values) (T, error) {
	if len(q) > 0 {
		path += "?" + q.Encode()
	}
	return call[T](ctx, c, http.MethodGet, path, nil)
}

// call asks the instances in turn until one answers for good. All requests
// of the interface may be repeated: they read, set a state, or carry an edit
// id. A problem that another instance may not have is kept while others are
// asked.
func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var (
		out     T
		last    error = ErrUnreachable
		encoded []byte
	)
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return out, errors.Trace(err)
		}
	}
	for _, address := range c.addresses {
		err := c.once(ctx, method, "http://"+address+path, encoded, &out)
		if err == nil || !elsewhere(err) {
			return out, err
		}
		last = worse(last, err)
		if ctx.Err() != nil {
			break
		}
	}
	return out, last
}

// elsewhere reports whether another instance may give a better answer.
func elsewhere(err error) bool {
	var p *Problem
	return !errors.As(err, &p) || p.Status >= 500
}

// worse returns the error that leaves more open: a request that may have been
// carried out, then a problem, then no contact.
func worse(a, b error) error {
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

// once sends one request. The answer of an instance other than success is a
// *Problem.
func (c *Client) once(ctx context.Context, method, target string, body []byte, out any) error {
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	if body != nil {
		r.Header.Set("Content-Type", jsonType)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return lost(method, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return lost(method, err)
	case len(answer) > maxAnswerBytes:
		return lost(method, errors.New("answer too large"))
	case resp.StatusCode == http.StatusOK:
		if err := json.Unmarshal(answer, out); err != nil {
			return lost(method, err)
		}
		return nil
	}
	return problem(resp, answer)
}

// lost classifies a failure without a readable answer. Only a failed
// connection attempt rules out that the instance acted.
func lost(method string, err error) error {
	var dial *net.OpError
	if method == http.MethodGet || errors.As(err, &dial) && dial.Op == "dial" {
		return errors.Annotate(ErrUnreachable, err.Error())
	}
	return errors.Annotate(ErrOutcomeUnknown, err.Error())
}

func problem(resp *http.Response, answer []byte) error {
	p := &Problem{}
	isProblem := strings.HasPrefix(resp.Header.Get("Content-Type"), problemType)
	if !isProblem || json.Unmarshal(answer, p) != nil {
		p = &Problem{Title: resp.Status, Detail: fmt.Sprintf("answer %s", resp.Status)}
	}
	p.Status = resp.StatusCode
	return p
}
