package exchange

import (
	"io"
	"math"

	"github.com/juju/errors"
)

// maxHeadBytes bounds the size of a response's status line and header fields.
const maxHeadBytes = 32 << 10

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
