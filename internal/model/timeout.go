package model

import (
	"strconv"
	"time"

	"github.com/juju/errors"
)

// TimeoutHeader is the header with the time until a request's deadline, in the
// format of gRPC over HTTP/2: up to 8 digits and a unit.
const TimeoutHeader = "Grpc-Timeout"

const maxTimeoutDigits = 8

var timeoutUnits = map[byte]time.Duration{
	'H': time.Hour, 'M': time.Minute, 'S': time.Second,
	'm': time.Millisecond, 'u': time.Microsecond, 'n': time.Nanosecond,
}

// ParseTimeout parses a Grpc-Timeout value. Zero is valid and means that the
// deadline has passed. A value above 10,000 hours counts as 10,000 hours.
func ParseTimeout(s string) (time.Duration, error) {
	const longest = 10_000 * time.Hour
	if len(s) < 2 || len(s) > maxTimeoutDigits+1 {
		return 0, errors.NotValidf("%s %q", TimeoutHeader, s)
	}
	unit, ok := timeoutUnits[s[len(s)-1]]
	n, err := strconv.ParseUint(s[:len(s)-1], 10, 64)
	if !ok || err != nil {
		return 0, errors.NotValidf("%s %q", TimeoutHeader, s)
	}
	if n > uint64(longest/unit) {
		return longest, nil
	}
	return time.Duration(n) * unit, nil
}

// FormatTimeout formats d in milliseconds, rounded down so that the receiver
// does not work past the sender's deadline. A negative d counts as zero.
func FormatTimeout(d time.Duration) string {
	const most = 99_999_999
	ms := min(max(d.Milliseconds(), 0), most)
	return strconv.FormatInt(ms, 10) + "m"
}
