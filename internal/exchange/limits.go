package exchange

import (
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
