package forward

import (
	"sync"
	"time"
)

// callerTimeouts tracks the timeouts of the callers of each route. A caller
// that retries after a refusal has less time left than on its first call; the
// difference is the time that it has already spent.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]longestTimeout
}

// longestTimeout is the longest timeout of a route's recent callers.
type longestTimeout struct {
	timeout time.Duration
	at      time.Time
}

// timeoutMaxAge is how long the longest timeout is used. The callers of a
// route have similar timeouts, so it only has to follow changes.
const timeoutMaxAge = 60 * time.Second

// Timeouts of first calls vary between callers. A timeout above
// firstCallShare times the longest one counts as that of a first call;
// typicalShare times the longest one is the typical timeout of first calls.
const firstCallShare, typicalShare = 0.8, 0.92

func newCallerTimeouts() *callerTimeouts { return &callerTimeouts{routes: map[string]longestTimeout{}} }

// spent returns how much of its initial timeout the caller has already spent.
// timeout is the time that it has left.
func (c *callerTimeouts) spent(route string, timeout time.Duration, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := c.routes[route]
	if timeout >= longest.timeout || now.Sub(longest.at) > timeoutMaxAge {
		c.routes[route] = longestTimeout{timeout, now}
		return 0
	}
	if timeout > time.Duration(firstCallShare*float64(longest.timeout)) {
		return 0
	}
	return time.Duration(typicalShare*float64(longest.timeout)) - timeout
}
