package model

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// Fingerprint identifies a request by its content: service, method, path with
// query, and body, but not its key. more are the parts of the body after the first. It is the first 64 bits of a SHA-256, so
// that a caller cannot construct a request that is mistaken for another one.
func Fingerprint(s Service, method, path string, body []byte, more ...[]byte) uint64 {
	h := sha256.New()
	for _, field := range []string{string(s), method, path} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		io.WriteString(h, field)
	}
	h.Write(body)
	for _, part := range more {
		h.Write(part)
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}
