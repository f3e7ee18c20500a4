package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/steering"
)

// limitRecord is the encoded rate limit of an endpoint.
type limitRecord struct {
	//lint:ignore U1000 The codec reads the tag, which leaves out the field names.
	_msgpack struct{} `msgpack:",as_array"`

	Endpoint uint32
	// Rate is the limit in thousandths of a request per second plus one, or 0 if the
	// endpoint no longer names one.
	Rate uint64
	// Age is in milliseconds.
	Age uint32
}

// Kinds of messages with rate limits: as an instance sends it, and as it is relayed
// within a failure domain.
const (
	kindLimits        = 'L'
	kindRelayedLimits = 'l'
)

const (
	// maxLimitsPerMessage is the number of records that fit into maxDatagram. One
	// takes at most 20 bytes.
	maxLimitsPerMessage = (maxDatagram - 64) / 20
	// rateUnit is the unit of encoded limits in requests per second.
	rateUnit = 0.001
)

// EncodeRateLimits encodes rate limits as one or more messages. relayed marks them
// as relayed within a failure domain.
func EncodeRateLimits(limits []steering.RateLimit, relayed bool) ([][]byte, error) {
	kind := byte(kindLimits)
	if relayed {
		kind = kindRelayedLimits
	}
	var out [][]byte
	for part := range slices.Chunk(limits, maxLimitsPerMessage) {
		records := make([]limitRecord, 0, len(part))
		for _, l := range part {
			r := limitRecord{Endpoint: l.Endpoint, Age: uint32(min(max(l.Age.Milliseconds(), 0), math.MaxUint32))}
			if l.Named {
				r.Rate = 1 + uint64(math.Round(l.PerSecond/rateUnit))
			}
			records = append(records, r)
		}
		b, err := encode(kind, records, 0)
		if err != nil {
			return nil, errors.Trace(err)
		}
		out = append(out, b)
	}
	return out, nil
}

// decodeRateLimits reverses EncodeRateLimits for one message without its kind.
func decodeRateLimits(b []byte) ([]steering.RateLimit, error) {
	var records []limitRecord
	if _, _, err := decodeValue(b, &records); err != nil {
		return nil, errors.Trace(err)
	}
	out := make([]steering.RateLimit, 0, len(records))
	for _, r := range records {
		l := steering.RateLimit{Endpoint: r.Endpoint, Age: time.Duration(r.Age) * time.Millisecond}
		if r.Rate > 0 {
			l.PerSecond, l.Named = float64(r.Rate-1)*rateUnit, true
		}
		out = append(out, l)
	}
	return out, nil
}
