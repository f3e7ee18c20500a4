package lookup

import "unsafe"

const (
	// noBlock marks a range that no block covers.
	noBlock = 255
	// indexBits is the number of leading address bits that the index covers.
	// With 16 bits, the index takes 256 KB and a lookup searches about 7 of
	// 400,000 evenly distributed ranges.
	indexBits = 16
	// index6Skip is the number of leading bits of an IPv6 address that the
	// index ignores, because all global unicast addresses start with 001
	// (RFC 4291, section 2.4).
	index6Skip = 3
)

// ranges holds disjoint address ranges in ascending order. Each range ends where
// the next one starts.
type ranges[A any] struct {
	starts []A
	refs   []blockRef
	// bucketStarts maps each value of the leading bits to the index of the
	// first range whose start has that value or a greater one. Its last element
	// is the number of ranges.
	bucketStarts []uint32
}

// blockRef identifies the block that a range belongs to.
type blockRef struct {
	region uint16
	// bits is the prefix length of the block, or noBlock.
	bits uint8
}

func (r *ranges[A]) index(key func(A) uint32) {
	if len(r.starts) == 0 {
		return
	}
	r.bucketStarts = make([]uint32, 1<<indexBits+1)
	at := 0
	for k := range uint32(1 << indexBits) {
		for at < len(r.starts) && key(r.starts[at]) < k {
			at++
		}
		r.bucketStarts[k] = uint32(at)
	}
	r.bucketStarts[1<<indexBits] = uint32(len(r.starts))
}

func indexKey4(a uint32) uint32 { return a >> (32 - indexBits) }

// indexKey6 is monotonic: addresses below global unicast map to the first key,
// addresses above it to the last key.
func indexKey6(a uint128) uint32 {
	switch a.hi >> (64 - index6Skip) {
	case 0:
		return 0
	case 1:
		return uint32(a.hi << index6Skip >> (64 - indexBits))
	}
	return 1<<indexBits - 1
}

func (r *ranges[A]) bytes() int {
	var a A
	return len(r.starts)*int(unsafe.Sizeof(a)+unsafe.Sizeof(blockRef{})) + 4*len(r.bucketStarts)
}

// blockBefore returns the block of the range before range i, or noBlock for the
// first range.
func (r *ranges[A]) blockBefore(i uint32) blockRef {
	if i == 0 {
		return blockRef{bits: noBlock}
	}
	return r.refs[i-1]
}

// find4 and find6 return the block of the last range that starts at or below the
// address. They are separate functions because a generic one would call its
// comparison through a function value.
func find4(r *ranges[uint32], a uint32) blockRef {
	if len(r.bucketStarts) == 0 {
		return blockRef{bits: noBlock}
	}
	k := indexKey4(a)
	lo, hi := r.bucketStarts[k], r.bucketStarts[k+1]
	for lo < hi {
		mid := (lo + hi) / 2
		if r.starts[mid] <= a {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return r.blockBefore(lo)
}

func find6(r *ranges[uint128], a uint128) blockRef {
	if len(r.bucketStarts) == 0 {
		return blockRef{bits: noBlock}
	}
	k := indexKey6(a)
	lo, hi := r.bucketStarts[k], r.bucketStarts[k+1]
	for lo < hi {
		mid := (lo + hi) / 2
		if r.starts[mid].compare(a) <= 0 {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return r.blockBefore(lo)
}
