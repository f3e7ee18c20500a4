package lookup

import "unsafe"

const (
	// noBlock marks a range that no block covers.
	noBlock = 255
	// indexBits is the number of leading address bits that the index
	// resolves. With 16 bits it takes 256 KB and leaves about 7 of 400,000
	// evenly spread ranges to search.
	indexBits = 16
	// index6Skip leaves out the first bits of an IPv6 address, because all
	// global unicast addresses start with 001 (RFC 4291, section 2.4).
	index6Skip = 3
)

// ranges are disjoint ranges of addresses in ascending order. Each one ends
// where the next one starts.
type ranges[A any] struct {
	starts []A
	owners []owner
	// heads is, for each value of the leading bits, the first range that
	// starts at or above it. Its last element is the number of ranges.
	heads []uint32
}

// owner is the block that a range belongs to.
type owner struct {
	region uint16
	// bits is the length of the block's prefix, or noBlock.
	bits uint8
}

func (r *ranges[A]) index(key func(A) uint32) {
	if len(r.starts) == 0 {
		return
	}
	r.heads = make([]uint32, 1<<indexBits+1)
	at := 0
	for k := range uint32(1 << indexBits) {
		for at < len(r.starts) && key(r.starts[at]) < k {
			at++
		}
		r.heads[k] = uint32(at)
	}
	r.heads[1<<indexBits] = uint32(len(r.starts))
}

func indexKey4(a uint32) uint32 { return a >> (32 - indexBits) }

// indexKey6 is monotonic: addresses outside of global unicast go to its ends.
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
	return len(r.starts)*int(unsafe.Sizeof(a)+unsafe.Sizeof(owner{})) + 4*len(r.heads)
}

// before returns the owner of the range before the given one.
func (r *ranges[A]) before(i uint32) owner {
	if i == 0 {
		return owner{bits: noBlock}
	}
	return r.owners[i-1]
}

// find4 and find6 return the owner of the last range that starts at or below
// the address. They are two functions, because a generic one would call its
// comparison through a function value.
func find4(r *ranges[uint32], a uint32) owner {
	if len(r.heads) == 0 {
		return owner{bits: noBlock}
	}
	k := indexKey4(a)
	lo, hi := r.heads[k], r.heads[k+1]
	for lo < hi {
		mid := (lo + hi) / 2
		if r.starts[mid] <= a {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return r.before(lo)
}

func find6(r *ranges[uint128], a uint128) owner {
	if len(r.heads) == 0 {
		return owner{bits: noBlock}
	}
	k := indexKey6(a)
	lo, hi := r.heads[k], r.heads[k+1]
	for lo < hi {
		mid := (lo + hi) / 2
		if r.starts[mid].compare(a) <= 0 {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return r.before(lo)
}
