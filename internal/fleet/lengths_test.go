package fleet

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against memory for elements that a message announces and does not have: at the
// start, in a field, and nested.
func TestLengthsBeyondTheMessage(t *testing.T) {
	for _, long := range []string{"\xdd\xff\xff\xff\xff", "\xdf\x80\x00\x00\x00", "\xdb\xff\xff\xff\xff", "\xc6\xff\xff\xff\xff", "\xdc\x05\x00", "\xde\x05\x00", "\xda\x05\x00", "\xc5\x05\x00", "\xd9\x05", "\xc4\x05", "\x9f", "\x8f", "\xbf"} {
		for before := range 8 {
			for _, text := range []string{long, "\x9f" + strings.Repeat("\x01", before) + long, "\x92\x01\x9f" + strings.Repeat("\xc0", before) + long} {
				if err := checkLengths([]byte(text)); !errors.Is(err, errLength) {
					t.Errorf("%x: %v", text, err)
				}
				for kind := range 256 {
					if _, err := Decode(append([]byte{byte(kind)}, text...)); err == nil {
						t.Errorf("kind %d with %x was decoded", kind, text)
					}
				}
			}
		}
	}
}

// Guards against random datagrams that end the process.
func TestRandomDatagrams(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	b := make([]byte, maxDatagram)
	for range 20000 {
		for i := range b {
			b[i] = byte(r.Uint32())
		}
		_, _ = Decode(b[:1+r.IntN(len(b)-1)])
	}
}

// Guards against rejecting what an instance sends: values of all kinds and sizes.
func TestLengthsWithinTheMessage(t *testing.T) {
	for _, v := range []any{nil, true, -1, 1000, 1 << 20, uint64(1) << 40, -1 << 40, 1.5, float32(1.5), "", strings.Repeat("s", 40), strings.Repeat("s", 300),
		[]byte("b"), make([]byte, 300), make([]int, 20), map[string]int{"a": 1}, [][]string{{"x"}, nil, make([]string, 30)}} {
		b, err := msgpack.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		for _, rest := range []string{"", "\xdd"} {
			if err := checkLengths(append(b, rest...)); err != nil {
				t.Errorf("%s: %v", fmt.Sprint(v), err)
			}
		}
	}
}
