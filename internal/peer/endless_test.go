package peer

import (
	"encoding/binary"
	"errors"
	"slices"
	"testing"
	"time"

	"jujubestile.example/jujubestile/platform/standin"
)

// TestEndlessResponses guards against reading from another instance without end:
// bytes that are no response to a call must end the connection.
func TestEndlessResponses(t *testing.T) {
	enc := newFrameEncoder()
	frame := func(seq uint64) string {
		f, err := enc.encode(responseHeader{Seq: seq}, Text{"unsolicited"})
		if err != nil {
			t.Fatal(err)
		}
		return string(slices.Clone(f))
	}
	// pauseSlack is room for pauses of a busy machine.
	const pauseSlack = 800 * time.Millisecond
	long := string(binary.BigEndian.AppendUint32(nil, MaxMessageBytes))
	for name, c := range map[string]struct {
		stream standin.Stream
		// held is how long the connection may stay open.
		held time.Duration
	}{
		"garbage":              {standin.Stream{Repeat: "x"}, 100 * time.Millisecond},
		"huge frame":           {standin.Stream{Head: "\xff\xff\xff\xff", Repeat: "x"}, 100 * time.Millisecond},
		"long frame":           {standin.Stream{Head: long, Repeat: "x"}, 500 * time.Millisecond},
		"long frame, slow":     {standin.Stream{Head: long, Repeat: "x", Pause: time.Millisecond}, 700 * time.Millisecond},
		"responses to no call": {standin.Stream{Head: frame(1 << 40), Repeat: frame(1 << 40)}, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.stream.AtConnect = true
			e, err := standin.StartEndless(c.stream)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(e.Close)
			start := time.Now()
			if _, err := say(pool(t, e.Addr(), PoolOptions{}), "a", 500*time.Millisecond); !errors.Is(err, ErrUnreachable) {
				t.Errorf("error %v, want unreachable", err)
			}
			for e.Open() > 0 {
				if took := time.Since(start); took > c.held+pauseSlack {
					t.Fatalf("the connection is open after %s, want %s", took, c.held)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}
