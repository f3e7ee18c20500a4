package fleet

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jujubestile.example/jujubestile/internal/steering"
)

// Guards against rate limits that change on the way, that are lost because they do
// not fit into one message, or that a receiver relays again.
func TestRateLimitMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []steering.RateLimit
		for i := range rapid.IntRange(1, 3*maxLimitsPerMessage).Draw(t, "limits") {
			l := steering.RateLimit{Endpoint: math.MaxUint32 - uint32(i), Age: time.Duration(rapid.IntRange(0, 1e6).Draw(t, "age_ms")) * time.Millisecond}
			if l.Named = i%3 > 0; l.Named {
				l.PerSecond = float64(i) * 1.25
			}
			sent = append(sent, l)
		}
		relayed := rapid.Bool().Draw(t, "relayed")
		messages, err := EncodeRateLimits(sent, relayed)
		if err != nil {
			t.Fatal(err)
		}
		var received []steering.RateLimit
		for _, b := range messages {
			m, err := Decode(b)
			if err != nil || m.Relayed != relayed || m.RateLimits == nil || len(b) > maxDatagram {
				t.Fatalf("message of %d bytes, relayed %t, error %v", len(b), m.Relayed, err)
			}
			received = append(received, m.RateLimits...)
		}
		if len(received) != len(sent) {
			t.Fatalf("%d limits received, want %d", len(received), len(sent))
		}
		for i, got := range received {
			want := sent[i]
			if got.Endpoint != want.Endpoint || got.Named != want.Named || got.Age != want.Age || math.Abs(got.PerSecond-want.PerSecond) > rateUnit {
				t.Fatalf("received %+v, want %+v", got, want)
			}
		}
	})
}
