package peer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// busyCalls is the number of pending calls at which a connection counts as
// busy. Another connection is opened only if all are busy, because gob sends
// its type descriptions again on each new connection.
const busyCalls = 8

// remote holds a Pool's connections to one instance.
type remote struct {
	pool     *Pool
	id       model.InstanceID
	inFlight atomic.Int64

	mu       sync.Mutex
	closed   bool
	conns    []*clientConn
	dialing  chan struct{}
	failures int
	nextDial time.Time
	lastErr  error
}

func (r *remote) acquire() bool {
	if r.inFlight.Add(1) <= int64(r.pool.opts.MaxCallsPerPeer) {
		return true
	}
	r.inFlight.Add(-1)
	return false
}

func (r *remote) release() { r.inFlight.Add(-1) }

// conn returns a connection for one call. It starts to open one if there is
// none, or if all are busy and the limit allows another one.
func (r *remote) conn(ctx context.Context) (*clientConn, error) {
	for {
		addr, ok := r.pool.resolve(r.id)
		if !ok {
			return nil, errors.NotFoundf("address of instance %s", r.id)
		}
		c, wait, err := r.pick(addr)
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// pick returns the least busy connection. Without any connection, it returns a
// channel that is closed when the dial in progress ends, or the last error
// during the backoff.
func (r *remote) pick(addr netip.AddrPort) (*clientConn, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil, nil, errors.ConstError("connections closed")
	}
	now := time.Now()
	r.retireOutdated(addr, now)
	best := r.leastBusy()
	if best != nil && (best.pending.Load() < busyCalls || len(r.conns) >= r.pool.opts.MaxConnsPerPeer) {
		return best, nil, nil
	}
	if now.Before(r.nextDial) {
		if best == nil {
			return nil, nil, r.lastErr
		}
		return best, nil, nil
	}
	if r.dialing == nil && !r.startDial(addr) {
		return nil, nil, errors.ConstError("pool closed")
	}
	if best != nil {
		return best, nil, nil
	}
	return nil, r.dialing, nil
}

func (r *remote) retireOutdated(addr netip.AddrPort, now time.Time) {
	for _, c := range slices.Clone(r.conns) {
		if c.addr != addr || c.idleTime(now) > r.pool.opts.MaxIdle {
			r.retireLocked(c)
		}
	}
}

func (r *remote) leastBusy() *clientConn {
	var best *clientConn
	for _, c := range r.conns {
		if best == nil || c.pending.Load() < best.pending.Load() {
			best = c
		}
	}
	return best
}

func (r *remote) startDial(addr netip.AddrPort) bool {
	done := make(chan struct{})
	ok := r.pool.start(func() { r.dial(addr, done) })
	if ok {
		r.dialing = done
	}
	return ok
}

func (r *remote) dial(addr netip.AddrPort, done chan struct{}) {
	ctx, cancel := context.WithTimeout(r.pool.ctx, r.pool.opts.DialTimeout)
	defer cancel()
	r.pool.counters.dials.Add(1)
	conn, err := r.pool.opts.Dial(ctx, addr)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dialing = nil
	defer close(done)
	if err != nil {
		r.pool.counters.dialFailures.Add(1)
		r.startBackoff(err)
		return
	}
	c := newClientConn(r, addr, conn)
	if r.closed || !c.start() {
		c.close()
		return
	}
	r.conns = append(r.conns, c)
}

// startBackoff delays the next dial after a failure. The caller must hold r.mu.
func (r *remote) startBackoff(err error) {
	r.failures++
	r.lastErr = err
	r.nextDial = time.Now().Add(r.pool.opts.backoff(r.failures))
}

// resetBackoff is called at the first response on a connection. An open
// connection does not end the backoff, because a server over its connection
// limit accepts connections and closes them.
func (r *remote) resetBackoff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = 0
	r.nextDial = time.Time{}
}

// retire takes a connection out of use for new calls. Its calls in flight can
// still get responses; the connection is closed after the last one.
func (r *remote) retire(c *clientConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retireLocked(c)
}

func (r *remote) retireLocked(c *clientConn) {
	if i := slices.Index(r.conns, c); i >= 0 {
		r.conns = slices.Delete(r.conns, i, i+1)
	}
	c.retired.Store(true)
	c.closeIfDone()
}

// connFailed retires a connection that has failed. If it has never got a
// response, the failure counts as a failed dial, because a server over its
// connection limit closes new connections at once.
func (r *remote) connFailed(c *clientConn, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !c.retired.Load() && c.lastRead.Load() == 0 {
		r.startBackoff(err)
	}
	r.retireLocked(c)
}

// unused reports whether r can be removed without loss: it has no connection, no
// call in flight and no backoff in progress.
func (r *remote) unused() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns) == 0 && r.dialing == nil && r.inFlight.Load() == 0 && time.Now().After(r.nextDial)
}

func (r *remote) closeAll() {
	r.mu.Lock()
	conns := r.conns
	r.conns = nil
	r.closed = true
	r.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}
