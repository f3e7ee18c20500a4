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

// Request is one attempt of a caller and what it got.
type Request struct {
	ID       string
	Path     string
	Unsafe   bool
	Instance *Instance
	// Incarnation is that of the instance's process when the request was sent.
	Incarnation int
	Sent, Ended time.Time
	// Status is 0 if the connection ended without an answer.
	Status int
	Body   string
	Err    error
}

// Callers send requests and keep what they got.
type Callers struct {
	world *Cluster
	mu    sync.Mutex
	log   []Request
	next  int
}

// Run sends requests until the context ends.
func (c *Callers) Run(ctx context.Context, callers int, seed uint64) {
	var group sync.WaitGroup
	for i := range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			c.one(ctx, rand.New(rand.NewPCG(seed, uint64(i))))
		}()
	}
	group.Wait()
}

const (
	// callerWait is how long callers wait for an answer.
	callerWait = 1500 * time.Millisecond
	// answerUse is how long callers use an answer of the directory.
	answerUse = 1500 * time.Millisecond
)

// one is a caller. It keeps its connections until they end.
func (c *Callers) one(ctx context.Context, rnd *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 2 * callerWait}
	directory := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	region := regionOf(domains[rnd.IntN(len(domains))])
	var known []string
	asked := time.Time{}
	for ctx.Err() == nil {
		if time.Since(asked) > answerUse {
			asked = time.Now()
			asks := c.world.Instances[rnd.IntN(len(c.world.Instances))].lookups
			// Without an answer the caller goes on with the one before.
			if a, err := standin.Lookup(directory, asks, host, region, region+"1"); err == nil && len(a) > 0 {
				known = a
			}
		}
		if len(known) > 0 {
			c.send(client, known[rnd.IntN(len(known))], rnd)
		}
		time.Sleep(time.Duration(10+rnd.IntN(30)) * time.Millisecond)
	}
}

func (c *Callers) send(client *http.Client, addr string, rnd *rand.Rand) {
	var in *Instance
	for _, i := range c.world.Instances {
		if i.entry == addr {
			in = i
		}
	}
	c.mu.Lock()
	c.next++
	id := "q" + strconv.Itoa(c.next)
	c.mu.Unlock()
	c.world.mu.Lock()
	version := c.world.version
	c.world.mu.Unlock()
	r := Request{ID: id, Path: "/safe/x", Instance: in}
	method := http.MethodGet
	switch n := rnd.IntN(10); {
	case n < 4:
		r.Path, r.Unsafe, method = "/pay/x", true, http.MethodPost
	case n < 5:
		r.Path = fmt.Sprintf("/only-%d/x", max(1, version-rnd.IntN(3)))
	}
	if in != nil {
		addr = in.front.Addr()
	}
	req := standin.NewRequest(method, addr, host, r.Path, id, strconv.Itoa(rnd.IntN(30)), callerWait)
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
	c.log = append(c.log, r)
	c.mu.Unlock()
}

// Requests returns the requests so far.
func (c *Callers) Requests() []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Request(nil), c.log...)
}
