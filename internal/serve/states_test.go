package serve

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/mirror"
)

// Guards against a state that is unpacked to another one than was packed, and
// against a difference to a state that the receiver does not have.
func TestPackedStatesAreUnpackedAsTheyWere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var from, to encodedStates
		var newest []byte
		version := desired.Version(0)
		for range rapid.IntRange(1, 8).Draw(t, "states") {
			version += desired.Version(rapid.IntRange(1, 3).Draw(t, "step"))
			newest = append(bytes.Clone(newest), rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "rows")...)
			from.add(version, newest)
			if rapid.Bool().Draw(t, "received") {
				to.add(version, newest)
			}
		}
		have := desired.Version(0)
		if n := len(to.kept); n > 0 {
			have = to.kept[rapid.IntRange(0, n-1).Draw(t, "have")].version
		}
		r, err := from.reply(have, mirror.Position{})
		p := r.State
		if err != nil {
			t.Fatal(err)
		}
		if have == version {
			if p.Version != 0 {
				t.Fatalf("packed version %d for an instance that has it", p.Version)
			}
			return
		}
		got, err := to.unpack(p)
		if err != nil || p.Version != version || !bytes.Equal(got, newest) {
			t.Fatalf("version %d from %d unpacked with error %v", p.Version, p.Base, err)
		}
		if p.Base != 0 {
			if _, err := new(encodedStates).unpack(p); err == nil {
				t.Fatal("a difference was unpacked without its base")
			}
		}
	})
}

// Guards against a packed state that takes up much memory when it is unpacked.
func TestUnpackedStatesAreBounded(t *testing.T) {
	packed, err := compress(make([]byte, 8*maxStateBytes), nil)
	if err != nil {
		t.Fatal(err)
	}
	if b, err := decompress(packed, nil); err == nil {
		t.Errorf("%d bytes were unpacked to %d", len(packed), len(b))
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		b := bytes.Clone(packed[:rnd.IntN(len(packed))])
		if len(b) > 0 {
			b[rnd.IntN(len(b))] ^= byte(1 + rnd.IntN(255))
		}
		if out, err := decompress(b, []byte("dictionary")); err == nil && len(out) > maxStateBytes {
			t.Errorf("a damaged state was unpacked to %d bytes", len(out))
		}
	}
}

// Guards against a rejected state that is passed on no more, because another instance that
// has rejected it too was asked and named the same position.
func TestRejectedStateIsPassedOnAfterItsPositionIsHeardAgain(t *testing.T) {
	var s encodedStates
	at := mirror.Position{Era: 1, Revision: 7}
	s.reject([]byte("invalid"), at)
	s.hold(at)
	r, err := s.reply(0, mirror.Position{Era: 1, Revision: 6})
	if err != nil || r.Held != at || len(r.Rejected) == 0 {
		t.Errorf("held %+v, %d bytes rejected, %v", r.Held, len(r.Rejected), err)
	}
	s.hold(mirror.Position{Era: 1, Revision: 8})
	if r, err := s.reply(0, at); err != nil || len(r.Rejected) > 0 {
		t.Errorf("%d bytes rejected after a later state, %v", len(r.Rejected), err)
	}
}
