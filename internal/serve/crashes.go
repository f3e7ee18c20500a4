package serve

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/quarantine"
)

// All instances share their crash reports to detect a request that crashes every
// endpoint that runs it (package quarantine). An endpoint may also drop a single
// response without crashing, so a broken connection counts as a crash only if the
// endpoint then accepts no connection, or if its entry in the store shows that it
// has gone or restarted.

const (
	// crashConfirmWindow is how long after a broken connection a sign that the
	// endpoint has gone or restarted confirms a crash. The entry of a restarted
	// endpoint appears in the store within seconds.
	crashConfirmWindow = 3 * time.Second
	// crashDialTimeout bounds one attempt to connect to the endpoint.
	crashDialTimeout = 300 * time.Millisecond
)

// crashDialDelays are the delays before each attempt to connect. There are
// several attempts because a process that exits closes its sockets one after the
// other, so that its listener may outlive a broken connection.
var crashDialDelays = []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond}

// crashDetector confirms crashes before it reports them to the quarantine. It
// implements forward.Quarantine.
type crashDetector struct {
	in         *Instance
	quarantine *quarantine.Quarantine
	// informed is set once the instance has the crash reports of others, or there are
	// none to be had. storeRead is set once the instances that the store lists are known.
	informed, storeRead atomic.Bool
	// mayServe is set once requests are served, at the latest after crashGateLimit.
	mayServe atomic.Bool

	mu sync.Mutex
	// unconfirmed holds, by endpoint, the requests whose connections broke within
	// crashConfirmWindow, and whose crash is not confirmed.
	unconfirmed map[model.EndpointID]*unconfirmedCrash
}

// unconfirmedCrash is an endpoint with broken connections.
type unconfirmedCrash struct {
	requests []brokenRequest
	// dialling is set while confirmByDialing runs.
	dialling bool
}

// brokenRequest is a request whose connection broke, by its fingerprint.
type brokenRequest struct {
	fingerprint uint64
	at          time.Time
}

func newCrashDetector(in *Instance) *crashDetector {
	return &crashDetector{in: in, quarantine: quarantine.New(newRand()), unconfirmed: map[model.EndpointID]*unconfirmedCrash{}}
}

// Check implements forward.Quarantine.
func (c *crashDetector) Check(fp uint64) forward.Verdict {
	v := c.quarantine.Decide(fp)
	if v == forward.VerdictRefuse {
		c.in.log.Log(events.Quarantined).Uint64("fingerprint", fp).Send()
	}
	return v
}

// Started implements forward.Quarantine.
func (c *crashDetector) Started(fp uint64, id model.EndpointID) { c.quarantine.Started(fp, id) }

// Cancelled implements forward.Quarantine.
func (c *crashDetector) Cancelled(fp uint64, id model.EndpointID) { c.quarantine.Cancelled(fp, id) }

// Finished implements forward.Quarantine. A broken connection is reported only
// once the crash is confirmed.
func (c *crashDetector) Finished(fp uint64, id model.EndpointID, crashed bool) {
	if !crashed {
		c.quarantine.Finished(fp, id, false)
		return
	}
	if c.recordBroken(fp, id, time.Now()) {
		go c.confirmByDialing(id)
	}
}

// recordBroken adds a request whose connection broke to those that wait for a
// confirmation. It reports whether the caller has to run confirmByDialing.
func (c *crashDetector) recordBroken(fp uint64, id model.EndpointID, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.unconfirmed[id]
	if u == nil {
		u = &unconfirmedCrash{}
		c.unconfirmed[id] = u
	}
	u.requests = append(u.requests, brokenRequest{fp, now})
	start := !u.dialling
	u.dialling = true
	return start
}

// confirmByDialing confirms the crash of an endpoint that accepts no connection. It
// starts again if another connection has broken meanwhile: an endpoint may drop a
// response and crash shortly after.
func (c *crashDetector) confirmByDialing(id model.EndpointID) {
	d := exchange.Dialer{Timeout: crashDialTimeout, UserTimeout: crashDialTimeout}
	for again := true; again; {
		started := time.Now()
		for _, pause := range crashDialDelays {
			time.Sleep(pause)
			e, ok := c.in.table.Lookup(id)
			if !ok {
				break
			}
			conn, err := d.Dial(context.Background(), e.Addr.String())
			if err != nil {
				c.endpointEnded(id)
				return
			}
			_ = conn.Close()
		}
		again = c.brokenSince(id, started)
	}
}

// brokenSince reports whether a connection to an endpoint has broken since a time. If
// not, the endpoint is no longer dialled.
func (c *crashDetector) brokenSince(id model.EndpointID, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.unconfirmed[id]
	if u == nil {
		return false
	}
	u.dialling = slices.ContainsFunc(u.requests, func(r brokenRequest) bool { return r.at.After(at) })
	return u.dialling
}

// endpointEnded records that an endpoint has exited or restarted. This confirms a
// crash for its broken connections, which is reported to the other instances.
func (c *crashDetector) endpointEnded(id model.EndpointID) {
	c.mu.Lock()
	u := c.unconfirmed[id]
	delete(c.unconfirmed, id)
	c.mu.Unlock()
	if u == nil {
		return
	}
	for _, r := range u.requests {
		c.quarantine.Finished(r.fingerprint, id, true)
	}
	c.in.log.Log(events.EndpointCrashed).Str("endpoint", string(id)).Int("requests", len(u.requests)).Send()
	go c.shareReports()
}

// expire drops broken connections whose confirmation window has passed.
func (c *crashDetector) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, u := range c.unconfirmed {
		u.requests = slices.DeleteFunc(u.requests, func(r brokenRequest) bool {
			old := now.Sub(r.at) > crashConfirmWindow
			if old {
				c.quarantine.Cancelled(r.fingerprint, id)
			}
			return old
		})
		if len(u.requests) == 0 && !u.dialling {
			delete(c.unconfirmed, id)
		}
	}
}
