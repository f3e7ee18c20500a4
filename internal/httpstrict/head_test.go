package httpstrict

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"
)

// headForm is the grammar of a head, RFC 9112 sections 4 and 5.
var headForm = regexp.MustCompile(`^HTTP/1\.[01] [1-5][0-9]{2}( [^\x00-\x08\x0a-\x1f\x7f]*)?\r\n` +
	"([!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*\r\n)*\r\n")

const fuzzMaxHead = 4 << 10

// readHead reads a response and returns whether there is one.
func readHead(src io.Reader) (*http.Response, bool) {
	r := NewReader(src, fuzzMaxHead)
	if r.Await() != nil {
		return nil, false
	}
	resp, err := r.Read(&http.Request{Method: http.MethodGet})
	return resp, err == nil
}

// FuzzHead guards against bytes that pass for a head although they are none, and against
// a verdict that depends on the pieces in which the bytes arrive.
func FuzzHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A: b\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 000 \r\n\r\n"))
	f.Add([]byte("HTTP/1.1 204\r\nContent-Length : 3\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		resp, ok := readHead(bytes.NewReader(b))
		other, otherOK := readHead(iotest.OneByteReader(bytes.NewReader(b)))
		if ok != otherOK || ok && (resp.StatusCode != other.StatusCode || resp.ContentLength != other.ContentLength || len(resp.Header) != len(other.Header)) {
			t.Errorf("%q: %v in one piece, %v byte by byte", b, resp, other)
		}
		if ok && !headForm.Match(b) {
			t.Errorf("%q passes for a head", b)
		}
	})
}

// Guards against a head without end, and against one of legal size with very many short
// fields, which take a hundred times their bytes in memory.
func TestHeadIsBounded(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\n"
	fields := ""
	for i := range maxFields + 1 {
		fields += fmt.Sprintf("%x:\r\n", i)
	}
	for name, src := range map[string]io.Reader{
		"endless value": io.MultiReader(strings.NewReader(start+"A: "), repeat('a')),
		"many fields":   strings.NewReader(start + fields + "\r\n"),
	} {
		r := NewReader(src, fuzzMaxHead)
		if err := r.Await(); err != nil && !errors.Is(err, ErrHeadTooLarge) {
			t.Errorf("%s: %v", name, err)
		}
		if _, err := r.Read(nil); !errors.Is(err, ErrHeadTooLarge) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// repeat is a reader of the same byte without end.
type repeat byte

// Read implements io.Reader.
func (r repeat) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r)
	}
	return len(p), nil
}
