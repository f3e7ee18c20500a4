// Package wire reads and writes the HTTP header fields that an entry instance
// exchanges with endpoints. It is the protocol of the product's own deployment
// (jujubestiled run); package platform has the one of the users' platform.
// EndpointHeaders implements exchange.EndpointProtocol.
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
	// RequestHeader is the header field with the ID of a request. HTTP/1.1
	// matches responses to requests only by their order on a connection. If an
	// endpoint repeats the field in its response, a late response to an earlier
	// request on a reused connection is detected.
	RequestHeader = "Jujubestile-Request"
	// via is the Via field that is added to forwarded messages (RFC 9110
	// section 7.6.3).
	via = "1.1 jujubestile"
)

// loadScale is the number of slots in an exchange.Load that is made from a
// utilization. It gives the utilization a resolution of 0.1 %.
const loadScale = 1000

// EndpointHeaders reads and writes the header fields of endpoints.
type EndpointHeaders struct{}

// Write sets the header fields of a request to an endpoint.
func (EndpointHeaders) Write(h http.Header, f exchange.RequestFields) {
	h.Del("Expect")
	h.Add("Via", via)
	h.Set(model.TimeoutHeader, model.FormatTimeout(f.Remaining))
	h.Set(RequestHeader, f.ID)
}

// RequestID returns the ID of the request that a response belongs to, or an
// empty string if the endpoint has not repeated it.
func (EndpointHeaders) RequestID(h http.Header) string { return h.Get(RequestHeader) }

// Read parses the header fields of a response. Status 503 with a valid
// Retry-After field means that the endpoint refused the request without
// executing it.
func (EndpointHeaders) Read(status int, h http.Header) exchange.ResponseFields {
	_, retryLater := RetryAfter(h, time.Now())
	f := exchange.ResponseFields{NotRun: status == http.StatusServiceUnavailable && retryLater}
	if u := Utilization(h); u >= 0 {
		f.HasLoad, f.Load = true, exchange.Load{Running: int(math.Round(u * loadScale)), Slots: loadScale}
	}
	return f
}

// CallerHeader returns the header of the response to a caller: the end-to-end
// fields of the endpoint's response without those for the entry instance.
func CallerHeader(h http.Header) http.Header {
	out := exchange.EndToEnd(h)
	out.Del(RequestHeader)
	out.Del(LoadHeader)
	out.Add("Via", via)
	return out
}

// RetryAfter returns the delay in a Retry-After field (RFC 9110 section 10.2.3),
// which holds seconds or a date. The delay is limited to an hour. It reports
// false if there is no valid field.
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
