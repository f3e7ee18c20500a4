package fleet

import (
	"encoding/binary"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

const errLength = errors.ConstError("message with a length beyond its end")

// checkLengths returns an error if an array, a map or a string of the first MessagePack
// value in b has more elements or bytes than follow. msgpack allocates what a length
// announces.
func checkLengths(b []byte) error {
	for values := 1; values > 0; values-- {
		if len(b) == 0 {
			return errLength
		}
		size, elements, ok := measure(b)
		if !ok || size > len(b) || elements > len(b)-size || values+elements > len(b) {
			return errLength
		}
		b = b[size:]
		values += elements
	}
	return nil
}

// measure returns the size in bytes of the value at the start of b, without its
// elements, and their number. It returns false for a code that no message has and for an
// incomplete length.
func measure(b []byte) (size, elements int, ok bool) {
	switch c := b[0]; {
	case msgpcode.IsFixedNum(c), c == msgpcode.Nil, c == msgpcode.False, c == msgpcode.True:
		return 1, 0, true
	case msgpcode.IsFixedString(c):
		return 1 + int(c&msgpcode.FixedStrMask), 0, true
	case msgpcode.IsFixedArray(c):
		return 1, int(c & msgpcode.FixedArrayMask), true
	case msgpcode.IsFixedMap(c):
		return 1, 2 * int(c&msgpcode.FixedMapMask), true
	case c == msgpcode.Uint8, c == msgpcode.Int8:
		return 2, 0, true
	case c == msgpcode.Uint16, c == msgpcode.Int16:
		return 3, 0, true
	case c == msgpcode.Uint32, c == msgpcode.Int32, c == msgpcode.Float:
		return 5, 0, true
	case c == msgpcode.Uint64, c == msgpcode.Int64, c == msgpcode.Double:
		return 9, 0, true
	case c == msgpcode.Str8, c == msgpcode.Bin8:
		n, ok := length(b, 1)
		return 2 + n, 0, ok
	case c == msgpcode.Str16, c == msgpcode.Bin16:
		n, ok := length(b, 2)
		return 3 + n, 0, ok
	case c == msgpcode.Str32, c == msgpcode.Bin32:
		n, ok := length(b, 4)
		return 5 + n, 0, ok
	case c == msgpcode.Array16:
		n, ok := length(b, 2)
		return 3, n, ok
	case c == msgpcode.Array32:
		n, ok := length(b, 4)
		return 5, n, ok
	case c == msgpcode.Map16:
		n, ok := length(b, 2)
		return 3, 2 * n, ok
	case c == msgpcode.Map32:
		n, ok := length(b, 4)
		return 5, 2 * n, ok
	}
	return 0, 0, false
}

// length returns the number in the bytes after the first, or false if they are cut off
// or it exceeds any message.
func length(b []byte, bytes int) (int, bool) {
	if len(b) <= bytes {
		return 0, false
	}
	var full [8]byte
	copy(full[8-bytes:], b[1:1+bytes])
	n := binary.BigEndian.Uint64(full[:])
	return int(n), n <= maxDatagram
}
