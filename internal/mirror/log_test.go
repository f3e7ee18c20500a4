package mirror

import "testing"

// Guards against a log of changes that takes the memory of its process, because it is
// bounded in number only: it may hold values of up to 1 MB.
func TestLogOfChangesIsBoundedInBytes(t *testing.T) {
	c := New(func(Batch) {})
	c.Replace("", nil, Position{Revision: 1})
	for r := Revision(2); r <= 1+maxLogLength; r++ {
		c.Apply("", []Event{{Item: Item{"k", make([]byte, 64<<10), r}}}, Position{Revision: r})
	}
	if _, _, covered := c.Since(Position{Revision: 1}); covered {
		t.Error("the log holds all values")
	}
	size := 0
	for _, e := range c.log {
		size += len(e.Value)
	}
	if events, _, covered := c.Since(Position{Revision: maxLogLength}); size > 4<<20 || !covered || len(events) != 1 {
		t.Errorf("the log holds %d bytes, the last change in it: %t", size, covered)
	}
}
