package serve_test

import (
	"sync"
	"testing"
	"time"

	"jujubestile.example/jujubestile/platform/standin"
)

const (
	// limitWindow is the span in which an endpoint with a rate limit may get
	// limitOverage times what that allows and limitSlack requests, from
	// limitSettleTime after it first named the limit.
	limitWindow     = 4 * time.Second
	limitSettleTime = 3 * time.Second
	limitOverage    = 1.5
	limitSlack      = 5
)

// allowedArrivals returns how many requests may reach an endpoint with a rate limit
// in any limitWindow.
func allowedArrivals(perSecond float64) int {
	return int(limitOverage*perSecond*limitWindow.Seconds()) + limitSlack
}

// sendFor sends requests to the instances in turn, one each 10 ms. It returns how
// many were answered with status 200, and the longest time that a refusal took.
func (c *cluster) sendFor(d time.Duration) (ok int, slowestRefusal time.Duration) {
	var group sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		in := c.instances[i%len(c.instances)]
		group.Go(func() {
			sent := time.Now()
			_, code, _ := c.send(in, "GET", "/safe/x")
			mu.Lock()
			defer mu.Unlock()
			switch code {
			case 200:
				ok++
			case 503:
				slowestRefusal = max(slowestRefusal, time.Since(sent))
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	return ok, slowestRefusal
}

// Guards against endpoints in need that get more requests than the limit that they
// have named to all instances together, or far fewer, against requests that wait
// although no endpoint has room, and against a limit that is kept after its end.
func TestInstancesKeepTheRateLimitsOfEndpointsTogether(t *testing.T) {
	c := newCluster(t, 6, 6)
	c.sendFor(time.Second)
	const limit = 2.0
	for _, e := range c.endpoints {
		e.SetRateLimit(limit)
	}
	c.sendFor(limitSettleTime)
	named := time.Now()
	ok, slowest := c.sendFor(2 * limitWindow)
	for _, e := range c.endpoints {
		var later []time.Time
		for _, at := range e.Arrivals() {
			if at.After(named) {
				later = append(later, at)
			}
		}
		if most := standin.MaxArrivals(later, limitWindow); most > allowedArrivals(limit) {
			t.Errorf("%s: %d requests in %s with a limit of %g/s, %d allowed", e.ID(), most, limitWindow, limit, allowedArrivals(limit))
		}
	}
	if want := int(limit * float64(len(c.endpoints)) * 2 * limitWindow.Seconds() / 2); ok < want {
		t.Errorf("%d requests answered in %s, want at least half of what the limits allow: %d", ok, 2*limitWindow, want)
	}
	if slowest > 300*time.Millisecond {
		t.Errorf("a request was refused after %s", slowest)
	}
	for _, e := range c.endpoints {
		e.SetRateLimit(-1)
	}
	c.sendFor(2 * time.Second) // The next response shows that the limit has ended.
	if ok, _ := c.sendFor(2 * time.Second); ok < 150 {
		t.Errorf("only %d of some 200 requests answered after the limits have ended", ok)
	}
}
