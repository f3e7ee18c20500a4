package serve

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/mirror"
)

// maxUnpackedBytes bounds the uncompressed size of a copy: 20,000 endpoint
// entries of 400 bytes.
const maxUnpackedBytes = 8 << 20

// pack encodes and compresses the items of a copy. Endpoint entries are similar
// to each other and shrink to about a sixth.
func pack(items []mirror.Item) ([]byte, error) {
	var b bytes.Buffer
	z, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := gob.NewEncoder(z).Encode(items); err != nil {
		return nil, errors.Trace(err)
	}
	if err := z.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return b.Bytes(), nil
}

// unpack reverses pack.
func unpack(packed []byte) ([]mirror.Item, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	z := flate.NewReader(bytes.NewReader(packed))
	var items []mirror.Item
	err := gob.NewDecoder(io.LimitReader(z, maxUnpackedBytes)).Decode(&items)
	return items, errors.Annotate(err, "copy of the store")
}

// packedCopy caches the last packed copy, because several instances request the
// same one after an outage of the store.
type packedCopy struct {
	mu    sync.Mutex
	at    mirror.Position
	bytes []byte
}

// get returns c in packed form and its position.
func (p *packedCopy) get(c *mirror.Copy) ([]byte, mirror.Position, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	items, at := c.Snapshot()
	if p.bytes != nil && p.at == at {
		return p.bytes, at, nil
	}
	b, err := pack(sharedItems(items))
	if err != nil {
		return nil, mirror.Position{}, err
	}
	p.bytes, p.at = b, at
	return b, at, nil
}
