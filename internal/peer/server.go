package peer

import (
	"context"
	"net"
	"net/rpc"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// ServerOptions configures a Server and limits the resources that its clients
// can use. Zero fields take the default.
type ServerOptions struct {
	// MaxConns is the largest number of open connections. Further ones are
	// closed as soon as they are accepted. Default 256: about ten neighbours
	// with two connections each, and room for witnesses, loans and
	// reconnecting peers.
	MaxConns int
	// MaxCallsPerConn is the largest number of calls of one connection that
	// run concurrently. Further calls are not read until one has ended.
	// Default 64.
	MaxCallsPerConn int
	// HeaderTimeout is the timeout for the first byte of the first message on
	// a new connection. Default 2 s.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between two messages.
	// Default 60 s, longer than any long poll.
	IdleTimeout time.Duration
	// MessageTimeout is the timeout for reading the rest of a message after
	// its first byte, and for writing a message. Default 5 s.
	MessageTimeout time.Duration
	// LargeBytes bounds the memory of messages of more than 16 KB that are being
	// received or sent, over all connections. Further ones wait up to MessageTimeout
	// unread; connections whose message makes no progress are closed meanwhile.
	// Default 8 MB, at least one message of MaxMessageBytes.
	LargeBytes int64
	// OnPanic is called when a method has panicked. The call fails.
	OnPanic func(method string, value any, stack []byte)
}

func (o *ServerOptions) setDefaults() {
	setDefault(&o.MaxConns, 256)
	setDefault(&o.MaxCallsPerConn, 64)
	setDefault(&o.HeaderTimeout, 2*time.Second)
	setDefault(&o.IdleTimeout, time.Minute)
	setDefault(&o.MessageTimeout, 5*time.Second)
	setDefault(&o.LargeBytes, 8<<20)
	o.LargeBytes = max(o.LargeBytes, largeCost*MaxMessageBytes)
	if o.OnPanic == nil {
		o.OnPanic = func(string, any, []byte) {}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

type serverCounters struct {
	accepted, refused, malformed, stalled, calls, panics, bytesIn, bytesOut atomic.Int64
}

// Server serves the calls of other instances.
type Server struct {
	opts     ServerOptions
	rpc      *rpc.Server
	ctx      context.Context
	cancel   context.CancelFunc
	counters serverCounters
	large    *largeMessages

	mu        sync.Mutex
	closed    bool
	listeners map[net.Listener]struct{}
	conns     map[*serverConn]struct{}
	running   sync.WaitGroup
}

// NewServer returns a Server without methods.
func NewServer(opts ServerOptions) *Server {
	opts.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		opts:      opts,
		rpc:       rpc.NewServer(),
		ctx:       ctx,
		cancel:    cancel,
		large:     newLargeMessages(opts.LargeBytes),
		listeners: map[net.Listener]struct{}{},
		conns:     map[*serverConn]struct{}{},
	}
}

// Register makes the methods of receiver callable as "name.Method", by the
// rules of net/rpc.
func (s *Server) Register(name string, receiver any) error {
	return errors.Annotatef(s.rpc.RegisterName(name, receiver), "registering %s", name)
}

// Serve accepts connections until the listener or the Server is closed. It
// returns nil after Close.
func (s *Server) Serve(ln net.Listener) error {
	if !s.addListener(ln) {
		return ln.Close()
	}
	for {
		conn, err := ln.Accept()
		if err == nil {
			s.ServeConn(conn)
			continue
		}
		if s.ctx.Err() != nil {
			return nil
		}
		var ne net.Error
		if !errors.As(err, &ne) || errors.Is(err, net.ErrClosed) {
			return errors.Annotate(err, "accepting calls")
		}
		// Accept also fails while the process has no free file descriptors,
		// which is temporary.
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners[ln] = struct{}{}
	return true
}

// ServeConn serves the calls of one connection in the background. It closes the
// connection if there are too many.
func (s *Server) ServeConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.opts.MaxConns {
		s.counters.refused.Add(1)
		_ = conn.Close()
		return
	}
	s.counters.accepted.Add(1)
	c := newServerConn(s, conn)
	s.conns[c] = struct{}{}
	s.running.Go(c.serve)
}

func (s *Server) removeConn(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Close closes the listeners and connections, cancels the contexts of running
// calls and waits for them.
func (s *Server) Close() {
	s.cancel()
	s.mu.Lock()
	s.closed = true
	for ln := range s.listeners {
		_ = ln.Close()
	}
	for c := range s.conns {
		c.close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// Stats returns the counters of the server, for expvar.Func.
func (s *Server) Stats() map[string]int64 {
	s.mu.Lock()
	open := len(s.conns)
	s.mu.Unlock()
	return map[string]int64{
		"connections_open":     int64(open),
		"connections_accepted": s.counters.accepted.Load(),
		"connections_refused":  s.counters.refused.Load(),
		"messages_malformed":   s.counters.malformed.Load(),
		"messages_stalled":     s.counters.stalled.Load(),
		"calls":                s.counters.calls.Load(),
		"panics":               s.counters.panics.Load(),
		"bytes_in":             s.counters.bytesIn.Load(),
		"bytes_out":            s.counters.bytesOut.Load(),
	}
}

func (s *Server) panicked(method string, value any) {
	s.counters.panics.Add(1)
	s.opts.OnPanic(method, value, debug.Stack())
}
