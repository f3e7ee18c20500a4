package fleet

import (
	"slices"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/steering"
)

// departureRecord is an encoded departure.
type departureRecord struct {
	//lint:ignore U1000 The codec reads the tag, which leaves out the field names.
	_msgpack struct{} `msgpack:",as_array"`

	Endpoint uint32
	Started  int64
}

// Kinds of messages with departures of endpoints: as an instance sends it, and as it
// is relayed within a failure domain.
const (
	kindDepartures        = 'D'
	kindRelayedDepartures = 'd'
)

// maxDeparturesPerMessage is the number of records that fit into maxDatagram. One
// takes at most 15 bytes.
const maxDeparturesPerMessage = (maxDatagram - 64) / 15

// EncodeDepartures encodes departures as one or more messages. relayed marks them as
// relayed within a failure domain.
func EncodeDepartures(list []steering.Departure, relayed bool) ([][]byte, error) {
	kind := byte(kindDepartures)
	if relayed {
		kind = kindRelayedDepartures
	}
	var out [][]byte
	for part := range slices.Chunk(list, maxDeparturesPerMessage) {
		records := make([]departureRecord, 0, len(part))
		for _, d := range part {
			records = append(records, departureRecord{Endpoint: d.Endpoint, Started: d.Started})
		}
		b, err := encode(kind, records, 0)
		if err != nil {
			return nil, errors.Trace(err)
		}
		out = append(out, b)
	}
	return out, nil
}

// decodeDepartures reverses EncodeDepartures for one message without its kind.
func decodeDepartures(b []byte) ([]steering.Departure, error) {
	var records []departureRecord
	if _, _, err := decodeValue(b, &records); err != nil {
		return nil, errors.Trace(err)
	}
	out := make([]steering.Departure, 0, len(records))
	for _, r := range records {
		out = append(out, steering.Departure{Endpoint: r.Endpoint, Started: r.Started})
	}
	return out, nil
}
