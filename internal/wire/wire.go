// Package wire holds the header fields that the product's own deployment shares
// with its endpoints. Endpoint implements exchange.EndpointProtocol.
package wire

import (
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/model"
)

const (
	// RequestHeader carries an identifier of the exchange. HTTP/1.1 matches
	// responses to requests only by their order on a connection. An endpoint
	// that repeats the field in its response lets a response be noticed that
	// belongs to an earlier request on a kept connection.
	RequestHeader = "Jujubestile-Request"
	// via is added to forwarded messages (RFC 9110 section 7.6.3).
	via = "1.1 jujubestile"
)

// loadScale is the slots in which a utilization is told, as a whole number.
const loadScale = 1000

// EndpointHeaders reads and writes the header fields of endpoints.
type EndpointHeaders struct{}

// Write sets the fields of a request.
func (EndpointHeaders) Write(h http.Header, f exchange.RequestFields) {
	h.Del("Expect")
	h.Add("Via", via)
	h.Set(model.TimeoutHeader, model.FormatTimeout(f.Remaining))
	h.Set(RequestHeader, f.ID)
}

// RequestID returns the ID of the request that a response belongs to, if it
// says so.
func (EndpointHeaders) RequestID(h http.Header) string { return h.Get(RequestHeader) }

// Read returns what the fields of a response say. Status 503 with Retry-After
// refuses a request before it has run.
func (EndpointHeaders) Read(status int, h http.Header) exchange.ResponseFields {
	_, wish := RetryAfter(h, time.Now())
	f := exchange.ResponseFields{NotRun: status == http.StatusServiceUnavailable && wish}
	if u := Utilization(h); u >= 0 {
		f.HasLoad, f.Load = true, exchange.Load{Running: int(math.Round(u * loadScale)), Slots: loadScale}
	}
	return f
}

// CallerHeader returns the fields of an endpoint's response that concern its
// caller.
func CallerHeader(h http.Header) http.Header {
	out := exchange.EndToEnd(h)
	out.Del(RequestHeader)
	out.Del(LoadHeader)
	out.Add("Via", via)
	return out
}

// RetryAfter reads a Retry-After field (RFC 9110 section 10.2.3): seconds or a
// date. It reports false without a valid field.
func RetryAfter(h http.Header, now time.Time) (time.Duration, bool) {
	const longest = time.Hour
	value := textproto.TrimString(h.Get("Retry-After"))
	if n, err := strconv.ParseUint(value, 10, 31); err == nil {
		return min(time.Duration(n)*time.Second, longest), true
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	return min(max(at.Sub(now), 0), longest), true
}
