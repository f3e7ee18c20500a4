package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// maxPairs is the number of pairs in a message that fit into maxDatagram with the
// other fields. A pair takes at most 10 bytes.
const maxPairs = (maxDatagram - 512) / 10

// parts splits a report into reports that fit into a message. Each of them is
// correct by itself: one with all loads says of which wire IDs.
func (r Report) parts() []Report {
	if len(r.Alive)+len(r.Seen)+len(r.Loads) <= 2*maxPairs {
		return []Report{r}
	}
	r.Loads = sortedPairs(r.Loads)
	var out []Report
	for rest, low := r, r.Low; len(out) == 0 || len(rest.Alive)+len(rest.Seen)+len(rest.Loads) > 0; {
		p, room := r, 2*maxPairs
		p.Alive, rest.Alive, room = cut(rest.Alive, room)
		p.Seen, rest.Seen, room = cut(rest.Seen, room)
		p.Loads, rest.Loads, _ = cut(rest.Loads, room)
		p.Low, p.High = low, cmp.Or(r.High, math.MaxUint32)
		if len(rest.Loads) > 0 && len(p.Loads) > 0 {
			p.High = p.Loads[len(p.Loads)-2]
			low = p.High + 1
		}
		p.Whole = r.Whole && (len(p.Loads) > 0 || len(r.Loads) == 0)
		out = append(out, p)
	}
	return out
}

// cut splits values after at most room of them, and returns the remaining room.
func cut(values []uint32, room int) (first, rest []uint32, left int) {
	n := min(len(values), room)
	return values[:n], values[n:], room - n
}

// sortedPairs returns the pairs of loads sorted by wire ID.
func sortedPairs(pairs []uint32) []uint32 {
	loads := parseLoads(pairs)
	out := make([]uint32, 0, len(pairs))
	for _, w := range slices.Sorted(maps.Keys(loads)) {
		out = append(out, w, uint32(loads[w]))
	}
	return out
}
