package exchange

import (
	"bufio"
	"cmp"
	"io"
	"math"
	"strings"

	"github.com/juju/errors"
)

const (
	// maxHeadBytes bounds the size of a response's status line and header
	// fields.
	maxHeadBytes = 32 << 10
	// maxSkippedResponses bounds the number of interim responses, and of
	// responses to earlier requests, before the response to a request.
	maxSkippedResponses = 16
)

const errTooManyResponses = errors.ConstError("too many interim responses or responses to earlier requests")

const errHeadTooLarge = errors.ConstError("response header exceeds the size limit")

// headLimiter is a reader that fails once it has read more than the maximum size
// of a response's head. http.ReadResponse has no limit of its own.
type headLimiter struct {
	io.Reader
	// left is the number of bytes that may be read.
	left int64
}

// startHead limits what is read from now on.
func (l *headLimiter) startHead() { l.left = maxHeadBytes }

// endHead removes the limit.
func (l *headLimiter) endHead() { l.left = math.MaxInt64 }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.Reader.Read(p)
	l.left -= int64(n)
	return n, err
}

// statusLineForm is the beginning of a status line. The keys of statusLineClasses
// stand for any of several bytes.
const statusLineForm = "HTTP/1.d ddde"

var statusLineClasses = map[byte]string{'d': "0123456789", 'e': " \r\n"}

const errNoResponse = errors.ConstError("endpoint sent data that is not an HTTP/1 response")

// checkStatusLine returns an error as soon as the received data cannot be a
// response, without waiting for the end of the line.
func checkStatusLine(br *bufio.Reader) error {
	for i, want := range []byte(statusLineForm) {
		b, err := br.Peek(i + 1)
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return errors.Trace(err)
		}
		if strings.IndexByte(cmp.Or(statusLineClasses[want], string(want)), b[i]) < 0 {
			return errNoResponse
		}
	}
	return nil
}
