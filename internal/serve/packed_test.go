package serve

import (
	"fmt"
	"reflect"
	"testing"

	"jujubestile.example/jujubestile/internal/mirror"
)

// A packed copy is whole and much smaller; a damaged one is an error.
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
	t.Logf("%d bytes of entries in %d", plain, len(packed))
	if len(packed) > plain/4 {
		t.Errorf("%d bytes of %d", len(packed), plain)
	}
	back, err := unpack(packed)
	if err != nil || !reflect.DeepEqual(back, items) {
		t.Fatalf("%d items back, %v", len(back), err)
	}
	if _, err := unpack(packed[:len(packed)/2]); err == nil {
		t.Error("half a copy was taken")
	}
}
