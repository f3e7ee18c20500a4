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
	// crashReportTimeout bounds one Crashes call.
	crashReportTimeout = 500 * time.Millisecond
)

// crashDialDelays are the delays before each attempt to connect. There are
// several attempts because a process that exits closes its sockets one after the
// other, so that its listener may outlive a broken connection.
var crashDialDelays = []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond}

// crashDetector confirms crashes before it reports them to the quarantine. It
// implements forward.Quarantine.
type crashDetector struct {
	in         *Instance
	quarantine *quarantine.Quarantine

	mu sync.Mutex
	// unconfirmed holds, by endpoint, the requests whose connections broke and
	// whose crash is not confirmed yet.
	unconfirmed map[model.EndpointID]*unconfirmedCrash
}

// unconfirmedCrash lists the requests of an endpoint whose connections broke, by
// their fingerprints, and when to give up on a confirmation.
type unconfirmedCrash struct {
	fingerprints []uint64
	until        time.Time
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
	c.mu.Lock()
	b := c.unconfirmed[id]
	first := b == nil
	if first {
		b = &unconfirmedCrash{until: time.Now().Add(crashConfirmWindow)}
		c.unconfirmed[id] = b
	}
	b.fingerprints = append(b.fingerprints, fp)
	c.mu.Unlock()
	if first {
		go c.confirmByDialing(id)
	}
}

// confirmByDialing confirms the crash of an endpoint that accepts no connection.
func (c *crashDetector) confirmByDialing(id model.EndpointID) {
	d := exchange.Dialer{Timeout: crashDialTimeout, UserTimeout: crashDialTimeout}
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
}

// endpointEnded records that an endpoint has exited or restarted. This confirms a
// crash for its broken connections, which is reported to the other instances.
func (c *crashDetector) endpointEnded(id model.EndpointID) {
	c.mu.Lock()
	b := c.unconfirmed[id]
	delete(c.unconfirmed, id)
	c.mu.Unlock()
	if b == nil {
		return
	}
	for _, fp := range b.fingerprints {
		c.quarantine.Finished(fp, id, true)
	}
	c.in.log.Log(events.EndpointCrashed).Str("endpoint", string(id)).Int("requests", len(b.fingerprints)).Send()
	go c.sendReports()
}

// expire drops unconfirmed crashes whose confirmation window has passed.
func (c *crashDetector) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, b := range c.unconfirmed {
		if now.Before(b.until) {
			continue
		}
		delete(c.unconfirmed, id)
		for _, fp := range b.fingerprints {
			c.quarantine.Cancelled(fp, id)
		}
	}
}

// CrashesArgs carries encoded crash reports, see quarantine.Quarantine.Merge.
type CrashesArgs struct{ News []byte }

// sendReports sends all crash reports to each live instance. The reports are few:
// they cover the requests in flight at endpoints that crashed recently.
func (c *crashDetector) sendReports() {
	args := CrashesArgs{c.quarantine.News(nil)}
	for _, p := range c.in.members.Alive() {
		ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
		err := c.in.peers.Call(ctx, p.ID, stateService+".Crashes", args, &struct{}{})
		cancel()
		if err != nil {
			c.in.log.Log(events.CrashReportFailed).Str("to", string(p.ID)).Err(err).Send()
		}
	}
}

// Crashes is the RPC method that merges the crash reports of another instance.
func (s *State) Crashes(args CrashesArgs, _ *struct{}) error {
	_, err := s.in.crashes.quarantine.Merge(args.News)
	if err != nil {
		s.in.log.Log(events.MalformedUpdate).Err(err).Send()
	}
	return err
}
