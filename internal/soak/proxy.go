// Package soak runs the daemon (command serve) as separate processes on one
// machine, injects faults and checks the guarantees of the system from what
// callers and endpoints observe. It relies on nothing internal to the daemon.
package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards TCP connections on loopback and injects network faults.
type Proxy struct {
	listener net.Listener
	target   string

	// delay is added to each read, in nanoseconds.
	delay atomic.Int64
	// silent drops all data in both directions; connections stay open.
	silent atomic.Bool
	// oneWay drops only the data that the target sends.
	oneWay atomic.Bool
	// refuse closes new connections at once.
	refuse atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewProxy starts a proxy in front of the target.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: ln, target: target, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

// Reset closes all connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	p.conns = map[net.Conn]bool{}
}

// Silence makes the proxy drop all data until ClearFaults is called.
func (p *Proxy) Silence() { p.silent.Store(true) }

// ClearFaults clears all faults. Connections that dropped data are reset, since
// the data cannot be sent again.
func (p *Proxy) ClearFaults() {
	wasSilent := p.silent.Swap(false)
	if p.oneWay.Swap(false) || wasSilent {
		p.Reset()
	}
	p.refuse.Store(false)
	p.delay.Store(0)
}

func (p *Proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.refuse.Load() {
			_ = c.Close()
			continue
		}
		go p.connect(c)
	}
}

func (p *Proxy) connect(from net.Conn) {
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		if t, ok := from.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = from.Close()
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = true, true
	p.mu.Unlock()
	go p.pipe(from, to, func() bool { return p.silent.Load() })
	p.pipe(to, from, func() bool { return p.silent.Load() || p.oneWay.Load() })
}

// pipe copies data in one direction until either side closes.
func (p *Proxy) pipe(from, to net.Conn, drop func() bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if d := p.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 && !drop() {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			break
		}
	}
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
	_ = from.Close()
	_ = to.Close()
}
