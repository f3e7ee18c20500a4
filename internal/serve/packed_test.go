package serve

import (
	"fmt"
	"reflect"
	"testing"

	"jujubestile.example/jujubestile/internal/mirror"
)

// Guards against a packed copy that loses items, is not much smaller, or is
// accepted although it is truncated.
func TestPackedCopy(t *testing.T) {
	var items []mirror.Item
	plain := 0
	for i := range 500 {
		value := fmt.Sprintf(`{"address":"10.0.%d.%d:8080","info":{"service":"entries","slots":6},"state":"ready","started":%d}`, i/250, i%250, 1700000000000+i)
		items = append(items, mirror.Item{Key: fmt.Sprint("endpoint-", i), Value: []byte(value), Revision: mirror.Revision(i)})
		plain += len(value)
	}
	packed, err := pack(items)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes of entries packed into %d", plain, len(packed))
	if len(packed) > plain/4 {
		t.Errorf("packed copy has %d bytes, want at most a quarter of %d", len(packed), plain)
	}
	back, err := unpack(packed)
	if err != nil || !reflect.DeepEqual(back, items) {
		t.Fatalf("unpacked %d items that differ, or an error: %v", len(back), err)
	}
	if _, err := unpack(packed[:len(packed)/2]); err == nil {
		t.Error("a truncated copy was accepted")
	}
}
