package serve

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/platform"
	"jujubestile.example/jujubestile/platform/standin"
)

// Guards against an announcement that counts as lost because one response of the
// store has no era.
func TestAnnouncementWithoutEra(t *testing.T) {
	calls := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls++; calls == 1 { // The grant of the lease; the announcement follows.
			standin.SetEra(w.Header(), 2)
		}
		if _, err := io.WriteString(w, `{"leaseId":7,"ttl_time":"30000ms","revision":9}`); err != nil {
			t.Error(err)
		}
	}))
	defer srv.Close()
	s := Settings{Instance: "i0"}
	s.Store.Address = netip.MustParseAddrPort(srv.Listener.Addr().String())
	in := New(s, events.New(io.Discard, zerolog.Disabled, "i0"))
	defer in.store.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	lease, err := in.announceOnce(ctx, platform.Lease{})
	if err != nil || lease.ID != 7 || lease.Era != 2 {
		t.Errorf("lease %+v, %v", lease, err)
	}
}
