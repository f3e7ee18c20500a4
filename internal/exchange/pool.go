package exchange

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// Client sends calls to endpoints and keeps a pool of connections to each. It is
// safe for concurrent use.
type Client struct {
	cfg      Config
	protocol EndpointProtocol
	dial     func(ctx context.Context, addr string) (net.Conn, error)
	// buffered is the number of bytes of bodies that are being read.
	buffered atomic.Int64

	mu    sync.Mutex
	pools map[model.EndpointID]*pool
	stats Stats
}

// Stats are connection statistics for metrics.
type Stats struct {
	// Dials counts the attempts to open a connection, FailedDials those that
	// failed.
	Dials, FailedDials int64
	// Open is the number of open connections.
	Open int64
}

// New returns a client without connections.
func New(cfg Config, protocol EndpointProtocol) *Client {
	d := Dialer{Timeout: cfg.DialTimeout, UserTimeout: cfg.UserTimeout}
	return &Client{cfg: cfg, protocol: protocol, dial: d.Dial, pools: map[model.EndpointID]*pool{}}
}

// pool holds the connections to one endpoint.
type pool struct {
	client *Client
	// buffered is the endpoint's part of Client.buffered.
	buffered atomic.Int64
	// inFlight is the number of bytes of request bodies in flight.
	inFlight atomic.Int64

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// ErrTooManyConns means that a new connection would exceed Target.MaxConns.
const ErrTooManyConns = errors.ConstError("connection limit of the endpoint reached")

// pool returns the pool of an endpoint and creates it if necessary.
func (c *Client) pool(id model.EndpointID) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[id]
	if p == nil {
		p = &pool{client: c}
		c.pools[id] = p
	}
	return p
}

// never is longer than any connection lives.
const never = 100 * 365 * 24 * time.Hour

// acquire returns an idle connection of the pool or opens a new one. It also
// returns the time spent on opening it.
func (c *Client) acquire(ctx context.Context, to Target, call *Call) (*conn, time.Duration, error) {
	p := c.pool(to.ID)
	oldest := time.Time{}
	switch {
	case call.RequireRecent && c.cfg.RecentUse > 0:
		oldest = time.Now().Add(-c.cfg.RecentUse)
	case call.RequireRecent:
		// No kept connection is new, not even one that is released meanwhile.
		oldest = time.Now().Add(never)
	}
	if cn := p.take(oldest, call.ID); cn != nil {
		return cn, 0, nil
	}
	if !p.reserve(to.MaxConns) {
		return nil, 0, ErrTooManyConns
	}
	start := time.Now()
	nc, err := c.dial(ctx, to.Addr.String())
	took := time.Since(start)
	c.countDial(err)
	if err != nil {
		p.unreserve()
		return nil, took, errors.Trace(err)
	}
	cn := &conn{Conn: nc, pool: p, protocol: c.protocol, roundTrip: took}
	go cn.readLoop()
	return cn, took, nil
}

func (c *Client) countDial(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Dials++
	if err != nil {
		c.stats.FailedDials++
	}
}

// Stats returns the connection statistics.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	for _, p := range c.pools {
		p.mu.Lock()
		s.Open += int64(p.open)
		p.mu.Unlock()
	}
	return s
}

// take removes the most recently used idle connection from the pool and returns
// it, or nil if there is none that was used since oldest and has not carried a request
// with the ID. It also discards connections that have been idle for too long.
func (p *pool) take(oldest time.Time, id string) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && now.After(p.idle[0].idleUntil) {
		old := p.idle[0]
		p.idle = p.idle[1:]
		go old.discard()
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		cn := p.idle[i]
		if cn.lastUse.Before(oldest) {
			return nil
		}
		if !cn.hasSent(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return cn
		}
	}
	return nil
}

// reserve counts a new connection as open unless limit connections are open. A
// limit of 0 means none.
func (p *pool) reserve(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.open >= limit {
		return false
	}
	p.open++
	return true
}

func (p *pool) unreserve() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// release returns a connection to the pool as idle after an exchange. keep is how long
// the endpoint keeps it open, or 0 if unknown.
func (p *pool) release(c *conn, keep time.Duration) {
	cfg := p.client.cfg
	if keep <= 0 {
		keep = cfg.MaxIdle + cfg.IdleMargin
	}
	now := time.Now()
	c.idleUntil, c.lastUse = now.Add(keep-cfg.IdleMargin), now
	p.addIdle(c)
}

// putBack returns a connection to the pool that was not used for an exchange. One that
// is not new keeps the time of its last use.
func (p *pool) putBack(c *conn) {
	if c.served == 0 {
		p.release(c, 0)
		return
	}
	p.addIdle(c)
}

// addIdle adds a connection to the idle ones.
func (p *pool) addIdle(c *conn) {
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if closed {
		c.discard()
	}
}

// remove removes a closed connection from the pool. It may be called more than
// once for a connection.
func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, o := range p.idle {
		if o == c {
			p.idle = append(p.idle[:i:i], p.idle[i+1:]...)
			break
		}
	}
	if !c.removed {
		c.removed = true
		p.open--
	}
}

// Drop closes the idle connections to an endpoint that no longer exists. Pending
// exchanges continue; their connections are closed afterwards.
func (c *Client) Drop(id model.EndpointID) {
	c.mu.Lock()
	p := c.pools[id]
	delete(c.pools, id)
	c.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, cn := range idle {
		cn.discard()
	}
}

// Sweep closes the connections that have been idle for too long. It should be
// called regularly, because Do checks only the pool of its own endpoint.
func (c *Client) Sweep() {
	c.mu.Lock()
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	c.mu.Unlock()
	for _, p := range pools {
		p.sweep(time.Now())
	}
}

func (p *pool) sweep(now time.Time) {
	var over []*conn
	p.mu.Lock()
	keep := p.idle[:0:0]
	for _, cn := range p.idle {
		if now.After(cn.idleUntil) {
			over = append(over, cn)
		} else {
			keep = append(keep, cn)
		}
	}
	p.idle = keep
	p.mu.Unlock()
	for _, cn := range over {
		cn.discard()
	}
}

// bodyBytes returns the size of the body.
func (c *Call) bodyBytes() int64 {
	n := int64(len(c.Body))
	for _, part := range c.MoreBody {
		n += int64(len(part))
	}
	return n
}

// reserveBody counts the bytes of a body as in flight, unless they exceed the limit.
func (p *pool) reserveBody(n int64) bool {
	limit := p.client.cfg.MaxBodiesInFlight
	if sum := p.inFlight.Add(n); limit > 0 && n > 0 && sum > limit && sum > n {
		p.inFlight.Add(-n)
		return false
	}
	return true
}

// encodeHead returns the HTTP message of a call without its body of the given size:
// the caller's request line, host and end-to-end fields, and the fields of the
// protocol.
func (c *Client) encodeHead(to Target, call *Call, size int64) []byte {
	h := EndToEnd(call.Header)
	h.Del("Content-Length")
	h.Del("Host")
	c.protocol.Write(h, RequestFields{ID: call.ID, Remaining: time.Until(call.Deadline), Expected: to.ID,
		HideKey: call.HideKey, Tenant: call.Tenant})
	var b bytes.Buffer
	b.Grow(512 + int(min(size, maxInlineWrite)))
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	_ = h.Write(&b) // Writing to a bytes.Buffer does not fail.
	if size > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.FormatInt(size, 10) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
