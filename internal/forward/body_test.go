package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"jujubestile.example/jujubestile/internal/bound"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/forward"
)

// Guards against a body without memory that is answered with anything but a 503 that
// is true, and against charges that stay: of a refused body, one over the limit, and
// ones that were sent, with a length and in chunks.
func TestBodiesAreCharged(t *testing.T) {
	got := make(chan int, 1)
	s := newBenchServer(t, 10)
	s.transport.reply = func(_ context.Context, _ int, _ exchange.Target, c *exchange.Call) exchange.Result {
		n := len(c.Body)
		for _, part := range c.MoreBody {
			n += len(part)
		}
		got <- n
		return ok("")
	}
	g := forward.NewGuard(forward.GuardConfig{Memory: bound.Limits{Total: 4 << 20, Large: 2 << 20}})
	s.server.Close()
	s.serve(g)
	for _, test := range []struct {
		bytes   int
		chunked bool
		status  int
	}{{100, false, 200}, {1 << 20, false, 200}, {1<<20 + 7, true, 200}, {3 << 20, false, 503}, {3 << 20, true, 503}, {65 << 20, false, 413}} {
		t.Run(fmt.Sprint(test.bytes, test.chunked), func(t *testing.T) {
			body := io.Reader(strings.NewReader(strings.Repeat("x", test.bytes)))
			if test.chunked {
				body = io.MultiReader(body)
			}
			req, err := http.NewRequest("POST", s.server.URL+"/safe/x", body)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h.example"
			req.Header.Set("Wait-Ms", "2000")
			sent := s.transport.count()
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				if test.status == http.StatusOK {
					t.Fatal(err)
				}
				return // Closed before the caller read the answer, which is allowed.
			}
			defer resp.Body.Close()
			if resp.StatusCode != test.status {
				t.Fatalf("status %d, want %d", resp.StatusCode, test.status)
			}
			if test.status == http.StatusOK {
				if n := <-got; n != test.bytes {
					t.Errorf("%d bytes were sent on, want %d", n, test.bytes)
				}
			} else if s.transport.count() != sent {
				t.Error("a refused request was sent")
			}
		})
	}
	s.server.Close()
	eventually(t, "all connections have ended", func() bool { return g.Stats().Connections == 0 })
	if st := g.Stats(); st.Used != 0 || st.Large != 0 {
		t.Errorf("charged at the end: %+v", st)
	}
}
