// Package httpstrict rejects bytes that are not an HTTP/1 response, wherever responses
// are read. net/http is lenient with them: it takes a status of 000, and a field whose
// name ends with a blank, such as "Content-Length : 5", for an unknown one, so that the
// body is framed in another way than its sender meant.
//
// Reader serves code that reads responses from a connection itself, Transport code that
// uses net/http.
package httpstrict

import (
	"errors"
	"strings"
)

// Errors of heads. A head is rejected at its first byte that no response can have.
var (
	ErrNoResponse   = errors.New("data that is not an HTTP/1 response")
	ErrHeadTooLarge = errors.New("response header exceeds the size limit")
	ErrField        = errors.New("malformed header field in a response")
	ErrFraming      = errors.New("response whose length is stated in two ways")
)

// headState is the part of a head that the next byte belongs to.
type headState int

const (
	inStatusLine headState = iota
	inReason
	atLineStart
	inName
	inValue
	// atLineEnd and atHeadEnd follow the carriage return of a line and of the empty
	// line.
	atLineEnd
	atHeadEnd
	headDone
)

// statusLineForm is the beginning of a status line. The keys of statusLineClasses
// stand for any of several bytes.
const statusLineForm = "HTTP/1.v cdd"

var statusLineClasses = map[byte]string{'v': "01", 'c': "12345", 'd': "0123456789"}

const (
	// versionAt and classAt are the places of the minor version and of the first digit
	// of the status in a status line.
	versionAt, classAt = 7, 9
	interimClass       = '1'
	switchingProtocols = "101"
)

// head checks the bytes of a response's head, one after the other.
type head struct {
	// max is the largest size of a head in bytes, left what is left of it.
	max, left int
	// interim means that the head of a further response follows that of an interim one.
	interim bool

	state headState
	// at is the place in the status line.
	at     int
	status [3]byte
	// oldest means that the version is HTTP/1.0.
	oldest bool
	// name is the beginning of the name of the field, in lower case.
	name                   []byte
	hasLength, hasEncoding bool
	fields                 int
	err                    error
}

// maxFields is the largest number of fields in a head. A parsed field takes some hundred
// bytes, however short it is.
const maxFields = 256

// maxName is the part of a name that is kept, longer than the names that matter.
const maxName = 24

// reset begins a new head.
func (h *head) reset() {
	*h = head{max: h.max, left: h.max, interim: h.interim, name: h.name[:0], err: h.err}
}

// check checks further bytes, up to the end of the head. It does nothing after that.
// An error is final: net/http reads on after some errors.
func (h *head) check(b []byte) error {
	for _, c := range b {
		if h.state == headDone || h.err != nil {
			break
		}
		if h.left--; h.left < 0 {
			h.err = ErrHeadTooLarge
		} else {
			h.err = h.step(c)
		}
	}
	return h.err
}

// step checks one byte.
func (h *head) step(c byte) error {
	switch h.state {
	case inStatusLine:
		return h.statusLine(c)
	case inReason, inValue:
		return h.text(c)
	case atLineStart:
		if c == '\r' {
			h.state = atHeadEnd
			return nil
		}
		h.name, h.state = h.name[:0], inName
		return h.fieldName(c)
	case inName:
		return h.fieldName(c)
	case atLineEnd:
		h.state = atLineStart
	case atHeadEnd:
		return h.end(c)
	}
	if c != '\n' {
		return ErrField
	}
	return nil
}

// statusLine checks a byte of the status line up to the reason.
func (h *head) statusLine(c byte) error {
	if h.at == len(statusLineForm) { // The reason and the blank before it may be missing.
		h.state = inReason
		if c != ' ' && c != '\r' {
			return ErrNoResponse
		}
		return h.text(c)
	}
	want := statusLineForm[h.at]
	class, ok := statusLineClasses[want]
	if !ok && c != want || ok && strings.IndexByte(class, c) < 0 {
		return ErrNoResponse
	}
	if h.at == versionAt {
		h.oldest = c == '0'
	}
	if h.at >= classAt {
		h.status[h.at-classAt] = c
	}
	h.at++
	return nil
}

// text checks a byte of a reason or of a field's value, RFC 9112 section 4 and RFC 9110
// section 5.5.
func (h *head) text(c byte) error {
	switch {
	case c == '\r':
		h.state = atLineEnd
	case c < ' ' && c != '\t' || c == 0x7f:
		return ErrField
	}
	return nil
}

// fieldName checks a byte of a field's name or the colon after it. A line that begins
// with a blank continues the one before, which RFC 9112 section 5.2 lets a gateway
// reject.
func (h *head) fieldName(c byte) error {
	if c == ':' && len(h.name) > 0 {
		return h.named()
	}
	if !isToken(c) {
		return ErrField
	}
	if len(h.name) < maxName {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		h.name = append(h.name, c)
	}
	return nil
}

// named records a field that frames the body.
func (h *head) named() error {
	h.state = inValue
	if h.fields++; h.fields > maxFields {
		return ErrHeadTooLarge
	}
	switch string(h.name) {
	case "content-length":
		h.hasLength = true
	case "transfer-encoding":
		h.hasEncoding = true
	}
	if h.hasEncoding && (h.hasLength || h.oldest) {
		return ErrFraming // HTTP/1.0 has no encodings, and its readers ignore them.
	}
	return nil
}

// end checks the last byte of the head.
func (h *head) end(c byte) error {
	if c != '\n' {
		return ErrField
	}
	if h.interim && h.status[0] == interimClass && string(h.status[:]) != switchingProtocols {
		h.reset()
		return nil
	}
	h.state = headDone
	return nil
}

// isToken reports whether a byte may be part of a name, RFC 9110 section 5.6.2.
func isToken(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
