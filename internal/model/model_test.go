package model

import "testing"

// Guards against accepting a priority outside the three classes. The priority is
// an index into the queues, which would be out of range.
func TestParsePriority(t *testing.T) {
	for in, ok := range map[string]bool{"1": true, "2": true, "3": true, "0": false, "4": false, "257": false, "-1": false, "": false, "x": false} {
		_, err := ParsePriority(in)
		if (err == nil) != ok {
			t.Errorf("ParsePriority(%q): err %v, want ok=%v", in, err, ok)
		}
	}
}
