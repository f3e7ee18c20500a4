package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// regionB is the address of the endpoints in region b.
var regionB = netip.MustParseAddrPort("10.0.0.2:80")

// regionServer is a test server with endpoints in the regions a and b. It counts
// the attempts in b that start after the desired state has come to exclude b.
type regionServer struct {
	*testServer
	excluded atomic.Bool
	outside  atomic.Int32
}

func newRegionServer(t *testing.T, reply func(ctx context.Context, s *regionServer, n int) exchange.Result) *regionServer {
	s := &regionServer{}
	s.testServer = newTestServer(t, func(ctx context.Context, n int, to exchange.Target, _ *exchange.Call) exchange.Result {
		if to.Addr == regionB && s.excluded.Load() {
			s.outside.Add(1)
		}
		return reply(ctx, s, n)
	})
	for i := range 4 {
		s.table.Put(steering.Endpoint{ID: model.EndpointID(fmt.Sprint("b", i)), Service: "s", Domain: "b1", Region: "b", Slots: 5, Addr: regionB}, time.Now())
	}
	s.allow(8, "b")
	return s
}

// allow puts a desired state in force in which /safe/ may run in one region.
func (s *regionServer) allow(v desired.Version, region model.Region) {
	s.state.Store(desired.New(v, []desired.Route{{Name: "/safe/", Host: "h.example", Prefix: "/safe/", Repeatable: true, Rank: 1,
		Timeout: time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2,
		TrafficSplit: []desired.WeightedService{{Service: "s", Weight: 1}}, AllowedRegions: []model.Region{region}}},
		[]desired.Service{{Name: "s", MaxConnections: 100}}, desired.Limits{MaxBodyBytes: 1000}))
}

func (s *regionServer) exclude() {
	s.allow(9, "a")
	s.excluded.Store(true)
}

func (s *regionServer) check(t *testing.T) {
	t.Helper()
	if n := s.outside.Load(); n != 0 {
		t.Errorf("%d attempts in a region that the desired state in force excludes", n)
	}
}

// Guards against a retry in a region that a desired state excludes, which was
// adopted after the request arrived.
func TestRetryFollowsNewAllowedRegions(t *testing.T) {
	s := newRegionServer(t, func(_ context.Context, s *regionServer, n int) exchange.Result {
		if n == 1 {
			s.exclude()
			return broken
		}
		return ok("")
	})
	s.send(t, "GET", "/safe/x", "r1")
	s.check(t)
}

// Guards against a second attempt in parallel in a region that a desired state
// excludes, which was adopted after the request arrived.
func TestHedgeFollowsNewAllowedRegions(t *testing.T) {
	s := newRegionServer(t, func(ctx context.Context, s *regionServer, n int) exchange.Result {
		if n == 1 {
			s.exclude()
			<-ctx.Done()
			return exchange.Result{Outcome: exchange.Abandoned, Err: ctx.Err()}
		}
		return ok("")
	})
	s.send(t, "GET", "/safe/x", "r1")
	s.check(t)
}

// Guards against an attempt in a region that a desired state excludes, which was
// adopted while the request's body was read.
func TestSlowBodyFollowsNewAllowedRegions(t *testing.T) {
	s := newRegionServer(t, func(context.Context, *regionServer, int) exchange.Result { return ok("") })
	body, w := io.Pipe()
	req, err := http.NewRequest("POST", s.server.URL+"/safe/x", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	go func() {
		_, _ = w.Write([]byte("first"))
		time.Sleep(50 * time.Millisecond)
		s.exclude()
		_, _ = w.Write([]byte("last"))
		_ = w.Close()
	}()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	s.check(t)
}
