package exchange

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"
)

type noFields struct{}

func (noFields) Write(http.Header, RequestFields)         {}
func (noFields) Read(int, http.Header) (f ResponseFields) { return f }
func (noFields) RequestID(http.Header) string             { return "" }

// TestConnectionClosedWhileIdle guards against a call that fails as not sent
// because its idle connection closes just before it is used.
func TestConnectionClosedWhileIdle(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	c := New(Default(), noFields{})
	to := Target{ID: "e1", Addr: netip.MustParseAddrPort(s.Listener.Addr().String())}
	defer c.Drop(to.ID)
	closed, other := net.Pipe()
	_, _ = closed.Close(), other.Close()
	p := c.pool(to.ID)
	p.reserve(0)
	p.idle = append(p.idle, &conn{Conn: closed, pool: p, served: 1, closed: true, idleUntil: time.Now().Add(time.Hour), lastUse: time.Now()})
	call := &Call{Method: "GET", Target: "/", Host: "h", Deadline: time.Now().Add(time.Second)}
	if res := c.Do(context.Background(), to, call); res.Outcome != Answered || errors.Is(res.Err, errConnClosed) {
		t.Errorf("outcome %s, %v, want answered", res.Outcome, res.Err)
	}
}

// TestAbsurdKeepAlive guards against keep-alive timeouts that overflow.
func TestAbsurdKeepAlive(t *testing.T) {
	for value, want := range map[string]time.Duration{"timeout=5": 5 * time.Second, "max=3, timeout=5": 5 * time.Second,
		"timeout=9223372036854775807": 10 * time.Minute, "timeout=18446744074": 10 * time.Minute, "timeout=9223372036854775808": 0,
		"timeout=1e300": 0, "timeout=NaN": 0, "timeout=-5": 0, "timeout=0": 0, "": 0} {
		if got := keepAliveTimeout(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("%q: %s, want %s", value, got, want)
		}
	}
}

// Guards against a request that wants a new connection and gets one that was released
// after the age of connections had been compared: without RecentUse none is new enough.
func TestReleasedConnectionIsNotNew(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	cfg := Default()
	cfg.RecentUse = 0
	c := New(cfg, noFields{})
	to := Target{ID: "e1", Addr: netip.MustParseAddrPort(s.Listener.Addr().String())}
	defer c.Drop(to.ID)
	call := &Call{Method: "GET", Target: "/", Host: "h", Deadline: time.Now().Add(time.Second), RequireRecent: true}
	for range 2 {
		if res := c.Do(context.Background(), to, call); res.Outcome != Answered || res.Reused {
			t.Errorf("outcome %s, reused: %v, %v", res.Outcome, res.Reused, res.Err)
		}
		for _, idle := range c.pool(to.ID).idle {
			idle.lastUse = time.Now().Add(time.Minute) // As one that is released while the next request looks for it.
		}
	}
}

// Guards against idle connections that count towards the limit of the endpoint after
// their time, because requests that want new connections do not look for them.
func TestExpiredConnectionsAreClosedForNewOnes(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	cfg := Default()
	cfg.RecentUse, cfg.MaxIdle = 0, time.Nanosecond
	c := New(cfg, noFields{})
	to := Target{ID: "e1", Addr: netip.MustParseAddrPort(s.Listener.Addr().String()), MaxConns: 2}
	defer c.Drop(to.ID)
	for range 5 {
		call := &Call{Method: "GET", Target: "/", Host: "h", Deadline: time.Now().Add(time.Second), RequireRecent: true}
		if res := c.Do(context.Background(), to, call); res.Outcome != Answered {
			t.Errorf("outcome %s, %v", res.Outcome, res.Err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
