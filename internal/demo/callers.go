package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jujubestile.example/jujubestile/client"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/standin"
)

// requestTimeout is the timeout of the callers' requests.
const requestTimeout = 2 * time.Second

// callers sends requests to all services at the rates of the services.
type callers struct {
	clients []*client.Client
	// phase is the name of the current phase, in which requests are counted.
	phase atomic.Pointer[string]
	// bulkFactor multiplies the rate of bulk requests.
	bulkFactor atomic.Int64
	// lastID is the number in the latest work id.
	lastID atomic.Int64

	mu      sync.Mutex
	samples []sample
	wg      sync.WaitGroup
}

// newCallers returns callers with one client in each region.
func newCallers(bootstrap []string) *callers {
	c := &callers{}
	c.bulkFactor.Store(1)
	for i := range regions {
		c.clients = append(c.clients, client.New(client.Config{
			Bootstrap: bootstrap, CallerAddr: fmt.Sprintf("10.%d.0.1", i+1),
		}))
	}
	return c
}

// run sends requests until ctx is done and waits for the last responses.
func (c *callers) run(ctx context.Context) {
	for _, s := range services {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.send(ctx, s)
		}()
	}
	c.wg.Wait()
	for _, cl := range c.clients {
		cl.Close()
	}
}

// send starts requests to one service at its rate, without waiting for earlier
// responses.
func (c *callers) send(ctx context.Context, s service) {
	tick := time.NewTicker(time.Second / time.Duration(s.rate))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n := int64(1)
		if s.priority == model.PriorityBulk {
			n = c.bulkFactor.Load()
		}
		for range n {
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.sendOne(s)
			}()
		}
	}
}

// sendOne sends one request and records the result.
func (c *callers) sendOne(s service) {
	id := c.lastID.Add(1)
	x := sample{phase: *c.phase.Load(), priority: s.priority, workID: fmt.Sprintf("work-%d", id)}
	req := client.Request{
		Service: string(s.name), Method: http.MethodGet, Path: fmt.Sprintf("/item?id=%d", id),
		Header: http.Header{standin.WorkHeader: {x.workID}},
	}
	if s.nonRepeatable {
		req.Method, req.Body = http.MethodPost, []byte("fee")
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	began := time.Now()
	resp, err := c.clients[id%int64(len(c.clients))].Do(ctx, req)
	x.latency = time.Since(began)
	x.outcome = outcomeOf(err)
	if err == nil {
		own := req.Method + " " + req.Path + " " + string(req.Body)
		x.misdelivered = string(resp.Body) != own || resp.Header.Get(standin.WorkHeader) != x.workID
	}
	if !s.nonRepeatable {
		// A repeatable request may run twice.
		x.workID = ""
	}
	c.mu.Lock()
	c.samples = append(c.samples, x)
	c.mu.Unlock()
}

func outcomeOf(err error) model.Outcome {
	var notRun *client.NotRunError
	switch {
	case err == nil:
		return model.OutcomeAnswered
	case errors.As(err, &notRun):
		return model.OutcomeNotRun
	}
	return model.OutcomeUnknown
}
