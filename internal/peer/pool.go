package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// PoolOptions configures a Pool. Zero fields take the default.
type PoolOptions struct {
	// MaxConnsPerPeer is the largest number of connections to one instance
	// that are used for new calls. Default 2, so that a large message delays
	// only the calls on its own connection.
	MaxConnsPerPeer int
	// MaxCallsPerPeer is the largest number of calls in flight to one
	// instance. Further calls fail with ErrNotSent. Default 256.
	MaxCallsPerPeer int
	// DialTimeout is the timeout for opening a connection. Default 1 s.
	DialTimeout time.Duration
	// DefaultTimeout is the timeout of a call whose context has no deadline.
	// Default 1 s.
	DefaultTimeout time.Duration
	// BackoffMin and BackoffMax limit the backoff after a failed dial, which
	// doubles with each failure. Default 20 ms and 1 s.
	BackoffMin, BackoffMax time.Duration
	// MaxIdle is the idle time after which a connection is replaced. It is
	// shorter than the server's idle timeout, so that the server does not
	// close a connection while a call is being sent on it. Default 45 s.
	MaxIdle time.Duration
	// WriteTimeout is the timeout for writing the queued messages to a
	// connection. Default 5 s.
	WriteTimeout time.Duration
	// Dial opens a connection. By default it opens a TCP connection.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

func (o *PoolOptions) setDefaults() {
	setDefault(&o.MaxConnsPerPeer, 2)
	setDefault(&o.MaxCallsPerPeer, 256)
	setDefault(&o.DialTimeout, time.Second)
	setDefault(&o.DefaultTimeout, time.Second)
	setDefault(&o.BackoffMin, 20*time.Millisecond)
	setDefault(&o.BackoffMax, time.Second)
	setDefault(&o.MaxIdle, 45*time.Second)
	setDefault(&o.WriteTimeout, 5*time.Second)
	if o.Dial == nil {
		o.Dial = dialTCP
	}
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}

// maxIdlePeers is the number of known instances at which the pool removes those
// without connections before it adds another one.
const maxIdlePeers = 256

type poolCounters struct {
	calls, failures, timeouts, overLimit, dials, dialFailures, silent atomic.Int64
	bytesIn, bytesOut                                                 atomic.Int64
}

// Pool is a Caller that keeps connections to the instances it calls.
type Pool struct {
	opts     PoolOptions
	resolve  Resolver
	ctx      context.Context
	cancel   context.CancelFunc
	counters poolCounters
	running  sync.WaitGroup

	mu     sync.Mutex
	closed bool
	peers  map[model.InstanceID]*remote
}

// NewPool returns a Pool that looks up the addresses of instances with resolve.
func NewPool(resolve Resolver, opts PoolOptions) *Pool {
	opts.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		opts:    opts,
		resolve: resolve,
		ctx:     ctx,
		cancel:  cancel,
		peers:   map[model.InstanceID]*remote{},
	}
}

// Call implements Caller. The reply is set only if Call returns nil; a response
// that arrives after the deadline does not change it.
func (p *Pool) Call(ctx context.Context, to model.InstanceID, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.opts.DefaultTimeout)
		defer cancel()
	}
	p.counters.calls.Add(1)
	sent, err := p.call(ctx, to, method, args, reply)
	if err == nil || isServerError(err) {
		return err
	}
	p.counters.failures.Add(1)
	return &callError{to: to, method: method, cause: err, sent: sent}
}

func (p *Pool) call(ctx context.Context, to model.InstanceID, method string, args, reply any) (sent bool, err error) {
	r, err := p.acquire(to)
	if err != nil {
		return false, err
	}
	defer r.release()
	for {
		c, err := r.conn(ctx)
		if err != nil {
			return false, err
		}
		sent, err := c.call(ctx, method, args, reply)
		if !errors.Is(err, rpc.ErrShutdown) {
			return sent, err
		}
		// The connection failed after it was chosen and before the call was
		// sent.
		r.retire(c)
	}
}

// acquire returns the connections to an instance and counts one call in flight
// on them. The caller must call release on the result.
func (p *Pool) acquire(to model.InstanceID) (*remote, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.ConstError("pool closed")
	}
	r := p.peers[to]
	if r == nil {
		p.removeUnused()
		r = &remote{pool: p, id: to}
		p.peers[to] = r
	}
	if !r.acquire() {
		p.counters.overLimit.Add(1)
		return nil, errors.QuotaLimitExceededf("calls in flight to %s", to)
	}
	return r, nil
}

// removeUnused removes instances without connections once there are
// maxIdlePeers, because an instance that was replaced is never called again. The
// caller must hold p.mu.
func (p *Pool) removeUnused() {
	if len(p.peers) < maxIdlePeers {
		return
	}
	for id, r := range p.peers {
		if r.unused() {
			delete(p.peers, id)
		}
	}
}

// Remove closes the connections to an instance that is gone.
func (p *Pool) Remove(id model.InstanceID) {
	p.mu.Lock()
	r := p.peers[id]
	delete(p.peers, id)
	p.mu.Unlock()
	if r != nil {
		r.closeAll()
	}
}

// Close closes all connections and waits for the goroutines of the pool. Calls
// in flight fail.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	p.closed = true
	peers := p.peers
	p.peers = map[model.InstanceID]*remote{}
	p.mu.Unlock()
	for _, r := range peers {
		r.closeAll()
	}
	p.running.Wait()
}

// start runs f in a goroutine that Close waits for. After Close it does not run
// f and returns false.
func (p *Pool) start(f func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.running.Go(f)
	return true
}

// Stats returns the counters of the pool, for expvar.Func.
func (p *Pool) Stats() map[string]int64 {
	return map[string]int64{
		"calls":              p.counters.calls.Load(),
		"calls_failed":       p.counters.failures.Load(),
		"calls_timed_out":    p.counters.timeouts.Load(),
		"calls_over_limit":   p.counters.overLimit.Load(),
		"dials":              p.counters.dials.Load(),
		"dials_failed":       p.counters.dialFailures.Load(),
		"connections_silent": p.counters.silent.Load(),
		"bytes_in":           p.counters.bytesIn.Load(),
		"bytes_out":          p.counters.bytesOut.Load(),
	}
}

// backoff returns the delay after the given number of consecutive failed dials.
// Jitter covers the upper half of the delay.
func (o *PoolOptions) backoff(failures int) time.Duration {
	d := o.BackoffMax
	if failures < 16 {
		d = min(d, o.BackoffMin<<(failures-1))
	}
	return d/2 + rand.N(d/2+1)
}
