package serve

import (
	"slices"
	"sync"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/mirror"
)

// encodedStates keeps the last desired states as the store encoded them, and packs
// the newest one for other instances. It is safe for concurrent use.
type encodedStates struct {
	mu sync.Mutex
	// heldAt is the position up to which every desired state was considered: the newest
	// one is in force or was rejected.
	heldAt mirror.Position
	// rejected is the state at heldAt if it was rejected, or nil, and rejectedPacked its
	// compressed form once it was needed.
	rejected, rejectedPacked []byte
	// kept has the valid states in the order of their versions.
	kept []keptState
	// packed has the newest state, packed for instances that have another version.
	packed map[desired.Version]packedState
}

type keptState struct {
	version desired.Version
	bytes   []byte
}

// packedState is a compressed desired state.
type packedState struct {
	Version desired.Version
	// Base is the version whose encoded state is the dictionary of the compression,
	// or 0 if there is none.
	Base   desired.Version
	Packed []byte
}

const (
	// maxKeptStates bounds the number of states to which the newest one can be
	// packed as a difference.
	maxKeptStates = 4
	// maxStateBytes bounds the size of an unpacked state. The store's values have
	// at most 1 MB.
	maxStateBytes = 2 << 20
	// packWindow is the window of the compression. It covers a state and the one
	// that serves as its dictionary.
	packWindow = 2 * maxStateBytes
)

// held returns the position up to which every desired state was considered.
func (s *encodedStates) held() mirror.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldAt
}

// hold records that every desired state up to a position was considered, and that the
// last one of them is valid if it is later than the one that was considered last.
func (s *encodedStates) hold(at mirror.Position) { s.consider(at, nil) }

// reject records that the desired state at a position was rejected.
func (s *encodedStates) reject(encoded []byte, at mirror.Position) { s.consider(at, encoded) }

func (s *encodedStates) consider(at mirror.Position, rejected []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heldAt.Before(at) {
		s.heldAt, s.rejected, s.rejectedPacked = at, rejected, nil
	}
}

// newestRejected returns the newest state if it was rejected, or nil.
func (s *encodedStates) newestRejected() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// add adds a state that is newer than all others.
func (s *encodedStates) add(v desired.Version, encoded []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = append(s.kept, keptState{v, encoded})
	if over := len(s.kept) - maxKeptStates; over > 0 {
		s.kept = slices.Clone(s.kept[over:])
	}
	s.packed = map[desired.Version]packedState{}
}

// reply returns what an instance lacks that has a version in force and has considered
// every state up to a position.
func (s *encodedStates) reply(have desired.Version, heldAt mirror.Position) (DesiredReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := DesiredReply{Held: s.heldAt}
	var err error
	if r.State, err = s.pack(have); err != nil {
		return DesiredReply{}, errors.Trace(err)
	}
	if s.rejected == nil || !heldAt.Before(s.heldAt) {
		return r, nil
	}
	if s.rejectedPacked == nil {
		s.rejectedPacked, err = compress(s.rejected, nil)
	}
	r.Rejected = s.rejectedPacked
	return r, errors.Trace(err)
}

// pack returns the newest state, if its version is above have, as the difference to
// that version if it is known. It returns the zero value if there is no newer state. The
// lock is held.
func (s *encodedStates) pack(have desired.Version) (packedState, error) {
	if len(s.kept) == 0 || s.kept[len(s.kept)-1].version <= have {
		return packedState{}, nil
	}
	base, newest := s.find(have), s.kept[len(s.kept)-1]
	if p, ok := s.packed[base.version]; ok {
		return p, nil
	}
	b, err := compress(newest.bytes, base.bytes)
	if err != nil {
		return packedState{}, errors.Trace(err)
	}
	p := packedState{Version: newest.version, Base: base.version, Packed: b}
	s.packed[base.version] = p
	return p, nil
}

// newerThan returns the newest state as the store encoded it, or nil if its version
// is not above have.
func (s *encodedStates) newerThan(have desired.Version) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.kept); n > 0 && s.kept[n-1].version > have {
		return s.kept[n-1].bytes
	}
	return nil
}

// find returns a kept state, or the zero value. The lock is held.
func (s *encodedStates) find(v desired.Version) keptState {
	if i := slices.IndexFunc(s.kept, func(k keptState) bool { return k.version == v }); i >= 0 {
		return s.kept[i]
	}
	return keptState{}
}

// unpack returns the encoded state of a packed one. It fails if that is the
// difference to a state that is not kept.
func (s *encodedStates) unpack(p packedState) ([]byte, error) {
	s.mu.Lock()
	base := s.find(p.Base)
	s.mu.Unlock()
	if base.version != p.Base {
		return nil, errors.Errorf("state %d is packed as the difference to state %d, which is not kept", p.Version, p.Base)
	}
	return decompress(p.Packed, base.bytes)
}

// dictionaryID identifies the dictionary in compressed data. Any number does,
// because a packed state names its base.
const dictionaryID = 1

// compress compresses b with an optional dictionary.
func compress(b, dictionary []byte) ([]byte, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(packWindow)}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return w.EncodeAll(b, nil), nil
}

// decompress reverses compress. It fails if the result exceeds maxStateBytes.
func decompress(b, dictionary []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxStateBytes),
		zstd.WithDecoderMaxWindow(packWindow)}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer r.Close()
	out, err := r.DecodeAll(b, nil)
	return out, errors.Trace(err)
}
