package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"jujubestile.example/jujubestile/platform/standin"
)

// Request is a request of a caller and its response.
type Request struct {
	ID   string
	Path string
	// Unsafe requests are non-repeatable: they must run at most once.
	Unsafe   bool
	Instance *Instance
	// Incarnation is the incarnation of the instance when the request was sent.
	Incarnation int
	Sent, Ended time.Time
	// Status is 0 if the connection ended without a response.
	Status int
	Body   string
	Err    error
}

// Callers send requests and record the responses.
type Callers struct {
	cluster  *Cluster
	mu       sync.Mutex
	requests []Request
	// lastID is the number in the latest request ID.
	lastID int
}

// Run sends requests from several concurrent callers until the context ends.
func (c *Callers) Run(ctx context.Context, callers int, seed uint64) {
	var group sync.WaitGroup
	for i := range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			c.runCaller(ctx, rand.New(rand.NewPCG(seed, uint64(i))))
		}()
	}
	group.Wait()
}

const (
	// callerTimeout is the timeout that callers send with each request. They wait
	// up to twice as long before they disconnect.
	callerTimeout = 1500 * time.Millisecond
	// lookupTTL is how long callers use the result of a lookup.
	lookupTTL = 1500 * time.Millisecond
)

// runCaller is the loop of one caller. It reuses its connections until they are
// closed.
func (c *Callers) runCaller(ctx context.Context, rnd *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 2 * callerTimeout}
	lookupClient := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	region := regionOf(domains[rnd.IntN(len(domains))])
	var addrs []string
	lastLookup := time.Time{}
	for ctx.Err() == nil {
		if time.Since(lastLookup) > lookupTTL {
			lastLookup = time.Now()
			lookupAddr := c.cluster.Instances[rnd.IntN(len(c.cluster.Instances))].lookups
			// If the lookup fails, the caller uses the previous result.
			if a, err := standin.Lookup(lookupClient, lookupAddr, host, region, region+"1"); err == nil && len(a) > 0 {
				addrs = a
			}
		}
		if len(addrs) > 0 {
			c.send(client, addrs[rnd.IntN(len(addrs))], rnd)
		}
		time.Sleep(time.Duration(10+rnd.IntN(30)) * time.Millisecond)
	}
}

func (c *Callers) send(client *http.Client, addr string, rnd *rand.Rand) {
	var in *Instance
	for _, i := range c.cluster.Instances {
		if i.entry == addr {
			in = i
		}
	}
	c.mu.Lock()
	c.lastID++
	id := "q" + strconv.Itoa(c.lastID)
	c.mu.Unlock()
	c.cluster.mu.Lock()
	version := c.cluster.version
	c.cluster.mu.Unlock()
	r := Request{ID: id, Path: "/safe/x", Instance: in}
	method := http.MethodGet
	switch n := rnd.IntN(10); {
	case n < 4:
		r.Path, r.Unsafe, method = "/pay/x", true, http.MethodPost
	case n < 5:
		r.Path = fmt.Sprintf("/only-%d/x", max(1, version-rnd.IntN(3)))
	case n < 6:
		r.Path = regionalPrefix + "x"
	case n < 7:
		r.Path = nestedPrefix + "x"
	}
	if in != nil {
		addr = in.callerProxy.Addr()
	}
	req := standin.NewRequest(method, addr, host, r.Path, id, strconv.Itoa(rnd.IntN(30)), callerTimeout)
	if in != nil {
		r.Incarnation, _, _ = in.state()
	}
	r.Sent = time.Now()
	resp, err := client.Do(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.Body = string(text)
		if err == nil {
			r.Status = resp.StatusCode
		}
	}
	r.Err, r.Ended = err, time.Now()
	c.mu.Lock()
	c.requests = append(c.requests, r)
	c.mu.Unlock()
}

// Requests returns the requests so far.
func (c *Callers) Requests() []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Request(nil), c.requests...)
}
