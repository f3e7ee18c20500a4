package instancelist_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"jujubestile.example/jujubestile/internal/instancelist"
	"jujubestile.example/jujubestile/internal/standin"
)

// Guards against a listing that shows leaving endpoints as live, or that contains
// changes the platform has not published.
func TestListShowsLeavingEndpoints(t *testing.T) {
	p := standin.NewPlatform()
	srv := httptest.NewServer(p)
	defer srv.Close()
	rec := instancelist.EndpointRecord{ID: "results-1", Service: "results", Region: "lagos", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 4, State: "live"}
	p.PutEndpoint(rec)
	p.Publish()
	rec.State = instancelist.StateLeaving
	p.PutEndpoint(rec)
	c := instancelist.NewClient(srv.URL)
	defer c.Close()
	for _, leaving := range []bool{false, true} {
		l, err := c.List(context.Background())
		if err != nil || len(l.Endpoints) != 1 || l.Endpoints[0].Leaving != leaving {
			t.Fatalf("leaving=%v: %+v, %v", leaving, l, err)
		}
		p.Publish()
	}
}

// Guards against transferring an unchanged list with each request, and against
// missing a change.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	p := standin.NewPlatform()
	srv := httptest.NewServer(p)
	defer srv.Close()
	c := instancelist.NewClient(srv.URL)
	defer c.Close()
	list := func(endpoints int) {
		t.Helper()
		if l, err := c.List(context.Background()); err != nil || len(l.Endpoints) != endpoints {
			t.Fatalf("%+v, %v, want %d endpoints", l, err, endpoints)
		}
	}
	for range 5 {
		list(0)
	}
	p.PutEndpoint(instancelist.EndpointRecord{ID: "e", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1})
	p.Publish()
	list(1)
	list(1)
	if requests, sent := p.ReadCounts(); requests != 7 || sent != 2 {
		t.Errorf("%d requests, list sent %d times, want 7 and 2", requests, sent)
	}
}

// Guards against accepting a truncated or malformed list or an error page, which
// would make all instances look gone.
func TestBadListsAreErrors(t *testing.T) {
	for name, body := range map[string]string{
		"truncated":     `{"endpoints":[{"id":"a","addr":"127.0.0.1:1","slots":4}`,
		"not JSON":      `<html>`,
		"no address":    `{"endpoints":[{"id":"a","slots":4}]}`,
		"no slots":      `{"endpoints":[{"id":"a","addr":"127.0.0.1:1"}]}`,
		"host name":     `{"endpoints":[{"id":"a","addr":"localhost:1","slots":4}]}`,
		"entry no peer": `{"entries":[{"id":"a","entry_addr":"127.0.0.1:1"}]}`,
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		c := instancelist.NewClient(srv.URL)
		if l, err := c.List(context.Background()); err == nil {
			t.Errorf("%s: accepted %+v", name, l)
		}
		c.Close()
		srv.Close()
	}
}
