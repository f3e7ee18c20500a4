package fleet

import (
	"maps"
	"testing"

	"jujubestile.example/jujubestile/internal/steering"
)

// Guards against loads of many endpoints that are lost because receivers read fewer
// bytes of a full or brief message.
func TestLargeLoadsAreReceived(t *testing.T) {
	loads := steering.Loads{}
	for i := range 3000 {
		loads[uint32(1<<31+i)] = 2
	}
	full, err := EncodeFull(presence(1, "a"), LoadUpdate{Loads: loads}, false)
	if err != nil {
		t.Fatal(err)
	}
	brief, err := EncodeBrief(presence(1, "a"), LoadUpdate{Loads: loads})
	if err != nil {
		t.Fatal(err)
	}
	for _, messages := range [][][]byte{full, brief} {
		received := steering.Loads{}
		for _, b := range messages {
			m, err := Decode(b[:min(len(b), maxDatagram)])
			if err != nil {
				t.Fatal(err)
			}
			for w, n := range m.Update.Loads {
				if received[w] = n; w < m.Low || w > m.High {
					t.Errorf("wire ID %d in a part from %d to %d", w, m.Low, m.High)
				}
			}
		}
		if !maps.Equal(received, loads) {
			t.Errorf("received %d of %d loads", len(received), len(loads))
		}
	}
}

// Guards against reports on groups with many endpoints that are lost because
// receivers read fewer bytes.
func TestLargeReportIsReceived(t *testing.T) {
	loads := steering.Loads{}
	for i := range 3000 {
		loads[uint32(1<<31+i)] = 2
	}
	r := Report{Region: "r", Alive: make([]uint32, 400), Seen: make([]uint32, 1200), Loads: LoadPairs(loads), Whole: true}
	messages, err := EncodeReport(r, false)
	if err != nil {
		t.Fatal(err)
	}
	received, alive, seen, next := steering.Loads{}, 0, 0, uint64(0)
	for _, b := range messages {
		m, err := Decode(b[:min(len(b), maxDatagram)])
		if err != nil {
			t.Fatalf("report of %d bytes, of which receivers read %d: %v", len(b), maxDatagram, err)
		}
		p := m.Report
		if relayed, err := EncodeReport(*p, true); err != nil || len(relayed) != 1 || len(relayed[0]) != len(b) {
			t.Errorf("a part becomes %d messages when it is relayed, %v", len(relayed), err)
		}
		alive, seen = alive+len(p.Alive), seen+len(p.Seen)
		if p.Whole && uint64(p.Low) != next {
			t.Errorf("part from %d, want %d", p.Low, next)
		}
		for w, n := range p.Update().Loads {
			if received[w] = n; p.Whole && (w < p.Low || w > p.High) {
				t.Errorf("wire ID %d in a part from %d to %d", w, p.Low, p.High)
			}
		}
		if p.Whole {
			next = uint64(p.High) + 1
		}
	}
	if !maps.Equal(received, loads) || alive != len(r.Alive) || seen != len(r.Seen) || next != 1<<32 {
		t.Errorf("received %d loads, %d and %d values, up to %d", len(received), alive, seen, next)
	}
}
