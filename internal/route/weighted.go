package route

import (
	"cmp"
	"slices"

	"jujubestile.example/jujubestile/internal/model"
)

// weighted chooses among regions by weight. After each choice, the number of
// requests of each region is within 1 of its weight times the number of all
// requests. The algorithm is that of R. Tijdeman, "The chairman assignment
// problem", Discrete Mathematics 32 (1980): of the regions that may get their
// next request now, choose the one that has to get it the soonest.
type weighted struct {
	regions []model.Region
	weights []float64
	// credit is, for each region, its weight times the number of choices, less
	// the number of times that it was chosen.
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

func (w *weighted) equal(o *weighted) bool {
	return o != nil && slices.Equal(w.regions, o.regions) && slices.Equal(w.weights, o.weights)
}

// slack returns 1/(2k-2) for k regions. The counts differ from the ideal ones
// by at most 1 - slack.
func (w *weighted) slack() float64 {
	return 1 / float64(max(2*len(w.regions)-2, 1))
}

// order appends the eligible regions: the one to choose next, then the others
// by how far they are behind their weights.
func (w *weighted) order(to []model.Region, eligible func(model.Region) bool) []model.Region {
	var buf [maxRegions]int
	idx := buf[:0]
	for i, r := range w.regions {
		if eligible(r) {
			idx = append(idx, i)
		}
	}
	first := w.next(idx)
	slices.SortStableFunc(idx, func(a, b int) int {
		if a == first || b == first {
			return cmp.Compare(boolToInt(b == first), boolToInt(a == first))
		}
		return cmp.Compare(w.credit[b]+w.weights[b], w.credit[a]+w.weights[a])
	})
	for _, i := range idx {
		to = append(to, w.regions[i])
	}
	return to
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// next returns which of the regions with the given indices to choose, or -1 if
// none of them may get its next request yet.
func (w *weighted) next(idx []int) int {
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

// recordChoice counts a request that went to the region. Credits are bounded,
// so that a region that could not be chosen for some time gets no burst later.
func (w *weighted) recordChoice(r model.Region) {
	for i := range w.regions {
		w.credit[i] += w.weights[i]
		if w.regions[i] == r {
			w.credit[i]--
		}
		w.credit[i] = min(max(w.credit[i], -1), 1)
	}
}
