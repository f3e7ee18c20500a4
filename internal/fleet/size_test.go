package fleet

import (
	"testing"

	"jujubestile.example/jujubestile/internal/steering"
)

// Guards against reports on groups with many endpoints that are lost because
// receivers read fewer bytes.
func TestLargeReportIsReceived(t *testing.T) {
	loads := steering.Loads{}
	for i := range 3000 {
		loads[uint32(1<<31+i)] = 2
	}
	b, err := EncodeReport(Report{Region: "r", Loads: LoadPairs(loads)}, false)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(b[:min(len(b), maxDatagram)]); err != nil {
		t.Errorf("report of %d bytes, of which receivers read %d: %v", len(b), maxDatagram, err)
	}
}
