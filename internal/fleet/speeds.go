package fleet

import (
	"encoding/binary"
	"math"
	"time"

	"jujubestile.example/jujubestile/internal/steering"
)

// The speeds of endpoints' machines follow the encoded message and the age of the copy,
// where earlier programs ignore them. A message without speeds has no byte for them.
// They consist of their number, a byte, and five bytes each: the endpoint's wire ID, and
// the speed and its age in one byte.

const (
	// speedLength is the length of an encoded speed, maxSpeeds the largest number of
	// them in a message.
	speedLength = 5
	maxSpeeds   = math.MaxUint8
	// speedAgeShift is the position of the age, above the bits of the speed.
	speedAgeShift = 5
	maxSpeedCode  = 1<<speedAgeShift - 1
	// usualSpeedCode is the code of the usual speed. Codes are powers of
	// steering.SpeedStep, from 0.17 to 169 times the usual time.
	usualSpeedCode = 8
	// speedAgeUnit is the unit of the age of a speed, which is 350 ms at most.
	speedAgeUnit    = 50 * time.Millisecond
	maxSpeedAgeCode = 1<<(8-speedAgeShift) - 1
)

// appendSpeeds appends as many speeds to a message as fit into a datagram, and returns
// the rest.
func appendSpeeds(b []byte, speeds []steering.Speed) (out []byte, rest []steering.Speed) {
	room := (maxDatagram - rangeLength - len(b) - 1) / speedLength
	n := max(min(len(speeds), maxSpeeds, room), 0)
	if n == 0 {
		return b, speeds
	}
	b = append(b, byte(n))
	for _, s := range speeds[:n] {
		b = append(binary.BigEndian.AppendUint32(b, s.Endpoint), speedCode(s))
	}
	return b, speeds[n:]
}

// speedCode encodes a speed and its age, each rounded to the nearest.
func speedCode(s steering.Speed) byte {
	code := usualSpeedCode + math.Round(math.Log(s.Factor)/math.Log(steering.SpeedStep))
	age := (s.Age + speedAgeUnit/2) / speedAgeUnit
	return byte(min(max(code, 0), maxSpeedCode)) | byte(min(max(age, 0), maxSpeedAgeCode))<<speedAgeShift
}

// decodeSpeeds reverses appendSpeeds. Speeds that are cut off are left out.
func decodeSpeeds(b []byte) []steering.Speed {
	if len(b) == 0 {
		return nil
	}
	n := min(int(b[0]), (len(b)-1)/speedLength)
	out := make([]steering.Speed, 0, n)
	for b = b[1:]; len(out) < n; b = b[speedLength:] {
		code := int(b[speedLength-1]) & maxSpeedCode
		out = append(out, steering.Speed{Endpoint: binary.BigEndian.Uint32(b), Factor: math.Pow(steering.SpeedStep, float64(code-usualSpeedCode)),
			Age: time.Duration(b[speedLength-1]>>speedAgeShift) * speedAgeUnit})
	}
	return out
}
