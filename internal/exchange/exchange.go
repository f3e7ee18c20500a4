// Package exchange sends requests to endpoints over kept HTTP/1.1 connections
// and returns whole responses. A request reaches an endpoint at most once for
// each call of Do; nothing is repeated here.
//
// Each connection has a reader of its own. It matches responses to requests by
// their ID, drops late extra ones, and closes an idle connection on which
// anything arrives.
package exchange

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// Call is one request to one endpoint.
type Call struct {
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request in the response.
	ID string
	// Deadline ends the endpoint's work.
	Deadline time.Time
	// RequireRecent demands a connection that has been used within FreshAge, because
	// a request that may not be repeated must not meet a forgotten one.
	RequireRecent bool
}

// Outcome says what is known about a request after an exchange.
type Outcome int

// Outcomes of an exchange.
const (
	// Answered means that the whole response of the endpoint is there.
	Answered Outcome = iota
	// NotRun means that the endpoint has said it did not run the request.
	NotRun
	// NotSent means that nothing was sent to the endpoint.
	NotSent
	// Unknown means that the request may have run.
	Unknown
	// Abandoned means that the context ended first; the request may have run.
	Abandoned
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "not-run", "not-sent", "unknown", "abandoned"}[o]
}

// Result is the outcome of one exchange. Status, Header and Body are set if
// there is a response.
type Result struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Fields  ResponseFields
	// Err says why there is no response.
	Err error
	// Reused means that the connection had served another request.
	Reused bool
	// DialTime is the time that a new connection took, or 0.
	DialTime time.Duration
	// RoundTrip is the time in which the connection was opened.
	RoundTrip time.Duration
}

// ConnectionBroken reports whether the endpoint ended the connection before its response
// was complete, as it does when it crashes. took is the time of the exchange: the
// end of an idle connection that crosses its next use takes less than a round
// trip, and is none.
func (r Result) ConnectionBroken(took time.Duration) bool {
	if r.Outcome != Unknown || r.Reused && took < r.RoundTrip {
		return false
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(r.Err, end) {
			return true
		}
	}
	return false
}

// RequestFields are set on each request.
type RequestFields struct {
	// ID identifies the request in its response.
	ID string
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Expected is the endpoint that is to run the request.
	Expected model.EndpointID
}

// Load is an endpoint's report of its requests.
type Load struct{ Running, Waiting, Slots int }

// ResponseFields are what an endpoint says of itself in a response.
type ResponseFields struct {
	// NotRun means that it did not run the request.
	NotRun bool
	// Misdirected means that the address belongs to another endpoint.
	Misdirected bool
	Endpoint    string
	ColdFor     time.Duration
	Load        Load
	HasLoad     bool
}

// EndpointProtocol names the header fields of endpoints.
type EndpointProtocol interface {
	Write(http.Header, RequestFields)
	Read(status int, h http.Header) ResponseFields
	RequestID(http.Header) string
}

// Config bounds the exchanges. All fields are required.
type Config struct {
	// DialTimeout bounds a new connection. A dropped opening packet is sent
	// again after a second, so a longer wait than a round trip rarely helps.
	DialTimeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged.
	UserTimeout time.Duration
	// MaxIdle is how long an idle connection is kept if the endpoint does not
	// say how long it keeps it.
	MaxIdle time.Duration
	// IdleMargin is how long before the endpoint's time a connection is given
	// up, so that no request crosses its end.
	IdleMargin time.Duration
	// RecentUse is how long ago a connection must have been used for a request
	// that may not be repeated.
	RecentUse time.Duration
	// RequireFraming refuses bodies that end with their connection: whether they are
	// whole cannot be told.
	RequireFraming bool
}

// Default returns the bounds in use.
func Default() Config {
	return Config{
		// The longest round trip between regions is 70 ms.
		DialTimeout: 300 * time.Millisecond,
		// One lost packet is sent again after 200 to 400 ms.
		UserTimeout: time.Second,
		MaxIdle:     4 * time.Second,
		IdleMargin:  time.Second,
		RecentUse:   2 * time.Second,
	}
}

// Errors of exchanges.
const (
	errMismatch  = errors.ConstError("bytes without a request")
	errSwitching = errors.ConstError("endpoint switched protocols")
	errTooLarge  = errors.ConstError("response over the limit")
	errClosing   = errors.ConstError("endpoint closes the connection")
	errNoEnd     = errors.ConstError("response without a length, which may be cut off")
)

const (
	// maxResponseBytes bounds a response body, which is held in memory.
	maxResponseBytes = 8 << 20
	// minStatus and maxStatus bound the status of a final response.
	minStatus, maxStatus = 200, 599
)

// Target names an endpoint and its address.
type Target struct {
	ID   model.EndpointID
	Addr netip.AddrPort
	// MaxConns is the most connections that this instance opens.
	MaxConns int
}

// Do sends the call to the endpoint and waits for the response. The context's
// end closes the connection.
func (c *Client) Do(ctx context.Context, to Target, call *Call) Result {
	conn, dial, err := c.acquire(ctx, to, call)
	if err != nil {
		return Result{Outcome: NotSent, Err: err, DialTime: dial}
	}
	reused := conn.served > 0
	res := conn.exchange(ctx, call, c.request(to, call))
	res.Reused, res.DialTime, res.RoundTrip = reused, dial, conn.roundTrip
	return res
}
