package serve

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/platform"
	"jujubestile.example/jujubestile/platform/standin"
)

// Guards against an instance that stays unlisted because its record was written and deleted
// between two whole copies of the store, neither of which has it.
func TestRecordThatNoCopyHasShownIsWrittenAgain(t *testing.T) {
	store, err := standin.StartStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	in := New(Settings{Instance: "i0", Region: "a", Domain: "a1", Domains: map[model.Domain]model.Region{"a1": "a"},
		Listen: Listen{Peer: addr, Requests: addr}, Store: StoreSettings{Address: netip.MustParseAddrPort(store.Addr())}},
		events.New(io.Discard, zerolog.Disabled, "i0"))
	in.copy.Replace("", nil, mirror.Position{Era: 1, Revision: 1})
	go in.announce(t.Context())
	go in.maintain(t.Context())
	key := platform.InstanceKey("i0")
	await := func(what string) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); store.LeaseOf(key) == 0; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	await("the instance is not listed")
	time.Sleep(100 * time.Millisecond) // The instance has the response.
	store.Delete(key)
	at := mirror.Position{Era: 1, Revision: 9}
	in.copy.Replace("i1", nil, at)
	in.copy.Confirm(at, time.Now())
	await("the instance is not listed again")
}
