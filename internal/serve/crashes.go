package serve

import (
	"context"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/quarantine"
)

// A request that crashes each endpoint that runs it is recognised by all
// instances together (package quarantine). Endpoints also lose single answers, so
// a broken connection counts as a crash only if the endpoint then does not accept
// connections, or its entry shows that it has gone or started again.

const (
	// crashConfirm is how long after a broken connection the endpoint's end
	// counts as its cause. Entries of restarted endpoints follow within seconds.
	crashConfirm = 3 * time.Second
	// crashDial bounds the connection that shows whether the endpoint lives.
	crashDial = 300 * time.Millisecond
	// crashTell bounds a call that tells another instance of crashes.
	crashTell = 500 * time.Millisecond
)

// crashDials are the pauses before each try to connect: a process that ends
// closes its connections one after the other.
var crashDials = []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond}

// crashes implements forward.Quarantine.
type crashes struct {
	in         *Instance
	quarantine *quarantine.Quarantine

	mu sync.Mutex
	// broken holds the requests whose connections broke, by endpoint.
	broken map[model.EndpointID]*brokenAt
}

// brokenAt is the broken requests of an endpoint whose end is not confirmed.
type brokenAt struct {
	fingerprints []uint64
	until        time.Time
}

func newCrashes(in *Instance) *crashes {
	return &crashes{in: in, quarantine: quarantine.New(newRand()), broken: map[model.EndpointID]*brokenAt{}}
}

// Check implements forward.Quarantine.
func (c *crashes) Check(fp uint64) forward.Verdict {
	v := c.quarantine.Decide(fp)
	if v == forward.VerdictRefuse {
		c.in.log.Log(events.Quarantined).Uint64("fingerprint", fp).Send()
	}
	return v
}

// Started implements forward.Quarantine.
func (c *crashes) Started(fp uint64, id model.EndpointID) { c.quarantine.Started(fp, id) }

// Cancelled implements forward.Quarantine.
func (c *crashes) Cancelled(fp uint64, id model.EndpointID) { c.quarantine.Cancelled(fp, id) }

// Finished implements forward.Quarantine. A broken connection waits for its
// confirmation.
func (c *crashes) Finished(fp uint64, id model.EndpointID, crashed bool) {
	if !crashed {
		c.quarantine.Finished(fp, id, false)
		return
	}
	c.mu.Lock()
	b := c.broken[id]
	first := b == nil
	if first {
		b = &brokenAt{until: time.Now().Add(crashConfirm)}
		c.broken[id] = b
	}
	b.fingerprints = append(b.fingerprints, fp)
	c.mu.Unlock()
	if first {
		go c.dial(id)
	}
}

// dial confirms the end of an endpoint that accepts no connection.
func (c *crashes) dial(id model.EndpointID) {
	d := exchange.Dialer{Timeout: crashDial, UserTimeout: crashDial}
	for _, pause := range crashDials {
		time.Sleep(pause)
		e, ok := c.in.table.Lookup(id)
		if !ok {
			break
		}
		conn, err := d.Dial(context.Background(), e.Addr.String())
		if err != nil {
			c.ended(id)
			return
		}
		_ = conn.Close()
	}
}

// ended notes that an endpoint has ended or started again: its broken requests
// were at a crash. Other instances are told.
func (c *crashes) ended(id model.EndpointID) {
	c.mu.Lock()
	b := c.broken[id]
	delete(c.broken, id)
	c.mu.Unlock()
	if b == nil {
		return
	}
	for _, fp := range b.fingerprints {
		c.quarantine.Finished(fp, id, true)
	}
	c.in.log.Log(events.EndpointCrashed).Str("endpoint", string(id)).Int("requests", len(b.fingerprints)).Send()
	go c.tell()
}

// expire gives up on confirmations that did not come.
func (c *crashes) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, b := range c.broken {
		if now.Before(b.until) {
			continue
		}
		delete(c.broken, id)
		for _, fp := range b.fingerprints {
			c.quarantine.Cancelled(fp, id)
		}
	}
}

// CrashesArgs are reports of crashes.
type CrashesArgs struct{ News []byte }

// tell passes the reports on to all other instances. There are few: requests in
// flight at endpoints that crashed lately.
func (c *crashes) tell() {
	args := CrashesArgs{c.quarantine.News(nil)}
	for _, p := range c.in.members.Alive() {
		ctx, cancel := context.WithTimeout(context.Background(), crashTell)
		err := c.in.peers.Call(ctx, p.ID, stateService+".Crashes", args, &struct{}{})
		cancel()
		if err != nil {
			c.in.log.Log(events.CrashesNotTold).Str("to", string(p.ID)).Err(err).Send()
		}
	}
}

// Crashes takes reports of another instance.
func (s *State) Crashes(args CrashesArgs, _ *struct{}) error {
	_, err := s.in.crashes.quarantine.Merge(args.News)
	if err != nil {
		s.in.log.Log(events.MalformedNews).Err(err).Send()
	}
	return err
}
