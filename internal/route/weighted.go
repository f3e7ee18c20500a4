package route

import (
	"cmp"
	"slices"

	"jujubestile.example/jujubestile/internal/model"
)

// weighted chooses among regions so that after each choice the counts are
// within 1 of the weights. It follows R. Tijdeman, "The chairman assignment
// problem", Discrete Mathematics 32 (1980): of the regions whose next request
// is due, take the one whose deadline is first.
type weighted struct {
	regions []model.Region
	weights []float64
	// credit is weight x choices - count.
	credit []float64
}

func newWeighted(weights map[model.Region]float64) *weighted {
	w := &weighted{}
	total := 0.0
	for r, x := range weights {
		if x > 0 {
			w.regions = append(w.regions, r)
			total += x
		}
	}
	slices.Sort(w.regions)
	for _, r := range w.regions {
		w.weights = append(w.weights, weights[r]/total)
	}
	w.credit = make([]float64, len(w.regions))
	return w
}

func (w *weighted) same(o *weighted) bool {
	return o != nil && slices.Equal(w.regions, o.regions) && slices.Equal(w.weights, o.weights)
}

// slack is 1/(2k-2) for k regions: the bound on the counts is 1 - slack.
func (w *weighted) slack() float64 {
	return 1 / float64(max(2*len(w.regions)-2, 1))
}

// order appends the eligible regions: the one whose turn it is, then the
// others by how far they are behind their weights.
func (w *weighted) order(to []model.Region, eligible func(model.Region) bool) []model.Region {
	var buf [maxRegions]int
	idx := buf[:0]
	for i, r := range w.regions {
		if eligible(r) {
			idx = append(idx, i)
		}
	}
	first := w.turn(idx)
	slices.SortStableFunc(idx, func(a, b int) int {
		if a == first || b == first {
			return cmp.Compare(boolRank(b == first), boolRank(a == first))
		}
		return cmp.Compare(w.credit[b]+w.weights[b], w.credit[a]+w.weights[a])
	})
	for _, i := range idx {
		to = append(to, w.regions[i])
	}
	return to
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// turn returns the index of the region to choose, or -1 without one.
func (w *weighted) turn(idx []int) int {
	slack := w.slack()
	best, bestDue := -1, 0.0
	for _, i := range idx {
		credit := w.credit[i] + w.weights[i]
		if credit < slack-1e-9 {
			continue
		}
		due := (1 - slack - credit) / w.weights[i]
		if best < 0 || due < bestDue {
			best, bestDue = i, due
		}
	}
	return best
}

// chosen counts a request that went to the region. The credit of a region
// that could not be chosen is bounded, so that it gets no burst later.
func (w *weighted) chosen(r model.Region) {
	for i := range w.regions {
		w.credit[i] += w.weights[i]
		if w.regions[i] == r {
			w.credit[i]--
		}
		w.credit[i] = min(max(w.credit[i], -1), 1)
	}
}
