package capacity

import (
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// RecordKey returns the store key of a region's capacity record.
func RecordKey(r model.Region) string {
	return "capacity/" + string(r)
}

// Record is the capacity record of a region: how many slots of each service
// each instance owns.
type Record struct {
	// Version grows by one with each change.
	Version uint64 `json:"version"`
	// Settled is the era of the store in which the owners were last known to be
	// right, or 0 in a store that reports no eras.
	Settled model.Era `json:"settled,omitempty"`
	// Services lists, in sorted order, the services that the positions in Caps
	// and Holder.Slots stand for.
	Services []model.Service `json:"services"`
	// Caps are the capacities that the last claim or relinquishment of slots
	// of each service was based on.
	Caps    []int                        `json:"caps"`
	Holders map[model.InstanceID]*Holder `json:"holders"`
}

// Holder is the entry of an instance that owns slots.
type Holder struct {
	// Incarnation is that of the process that holds the slots.
	Incarnation model.Incarnation `json:"inc"`
	// Slots holds counts of slots by position in Record.Services. Positions
	// that are missing at the end count as zero.
	Slots []int `json:"slots"`
	// Missing is the version at which the holder was marked as missing from
	// the platform's list, or 0.
	Missing uint64 `json:"missing,omitempty"`
	// Era is the era in which the holder has confirmed that it knows of the
	// restore that began it, or 0.
	Era model.Era `json:"era,omitempty"`
}

// ParseRecord parses a capacity record. An empty value is an empty record.
func ParseRecord(value []byte) (*Record, error) {
	r := &Record{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, r); err != nil {
			return nil, errors.Annotate(err, "parsing capacity record")
		}
	}
	if r.Holders == nil {
		r.Holders = make(map[model.InstanceID]*Holder)
	}
	if len(r.Caps) != len(r.Services) || !slices.IsSorted(r.Services) {
		return nil, errors.NotValidf("capacity record: order or number of services")
	}
	for id, h := range r.Holders {
		if h == nil || len(h.Slots) > len(r.Services) || slices.ContainsFunc(h.Slots, negative) {
			return nil, errors.NotValidf("capacity record: slots of holder %q", id)
		}
	}
	return r, nil
}

func negative(n int) bool {
	return n < 0
}

// Marshal returns the record as JSON.
func (r *Record) Marshal() ([]byte, error) {
	return json.Marshal(r)
}

// clone returns a deep copy.
func (r *Record) clone() *Record {
	c := &Record{Version: r.Version, Settled: r.Settled, Services: slices.Clone(r.Services), Caps: slices.Clone(r.Caps)}
	c.Holders = make(map[model.InstanceID]*Holder, len(r.Holders))
	for id, h := range r.Holders {
		c.Holders[id] = &Holder{Incarnation: h.Incarnation, Slots: slices.Clone(h.Slots), Missing: h.Missing, Era: h.Era}
	}
	return c
}

// at returns the number of slots at a position.
func (h *Holder) at(i int) int {
	if h == nil || i < 0 || i >= len(h.Slots) {
		return 0
	}
	return h.Slots[i]
}

func (h *Holder) empty() bool {
	return !slices.ContainsFunc(h.Slots, func(n int) bool { return n != 0 })
}

// set sets the number of slots at a position and drops zeros at the end.
func (h *Holder) set(i, n int) {
	for len(h.Slots) <= i {
		h.Slots = append(h.Slots, 0)
	}
	h.Slots[i] = n
	last := len(h.Slots)
	for last > 0 && h.Slots[last-1] == 0 {
		last--
	}
	h.Slots = h.Slots[:last]
}

// index returns the position of a service, or -1.
func (r *Record) index(svc model.Service) int {
	if i, ok := slices.BinarySearch(r.Services, svc); ok {
		return i
	}
	return -1
}

// ensureIndex returns the position of a service, which it adds if it is new.
func (r *Record) ensureIndex(svc model.Service) int {
	i, ok := slices.BinarySearch(r.Services, svc)
	if ok {
		return i
	}
	r.Services = slices.Insert(r.Services, i, svc)
	r.Caps = slices.Insert(r.Caps, i, 0)
	for _, h := range r.Holders {
		if i < len(h.Slots) {
			h.Slots = slices.Insert(h.Slots, i, 0)
		}
	}
	return i
}

// totals returns the number of slots that all holders together own, by
// position.
func (r *Record) totals() []int {
	sum := make([]int, len(r.Services))
	for _, h := range r.Holders {
		for i, n := range h.Slots {
			sum[i] += n
		}
	}
	return sum
}
