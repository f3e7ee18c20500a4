// Package exchange sends requests to endpoints over persistent HTTP/1.1
// connections and returns complete responses. It does not retry: each call of
// Do sends a request at most once.
//
// Each connection has its own reading goroutine. It matches responses to
// requests by request ID, drops late duplicates and closes an idle connection
// on which data arrives. A response without an ID is only accepted on a connection
// that has carried no other request, and no connection carries two requests with the
// same ID: in both cases a late copy of an earlier response, such as a refusal, could
// pass for the response to a request that the endpoint runs.
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
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is the body, and MoreBody its further parts. They are not copied.
	Body     []byte
	MoreBody [][]byte
	// HideKey means that the caller's API key and tenant name are not sent, and Tenant
	// is the name of its tenant, or empty.
	HideKey bool
	Tenant  string
	// ID is the request ID, by which the response is matched to the request.
	ID string
	// Deadline is the time until which the endpoint may work on the request, and
	// until which the request may be written. The wait for the response ends only
	// with the context.
	Deadline time.Time
	// RequireRecent requires a new connection or one used within
	// Config.RecentUse. It is for requests that may not be repeated: a
	// connection that was idle for longer may no longer work.
	RequireRecent bool
	// Permitted is called immediately before the request is sent, unless it is nil.
	// If it returns false, the request is not sent: what permitted it may have changed
	// while a connection was opened or the process was paused.
	Permitted func() bool
}

// Outcome is what is known about a request after an exchange.
type Outcome int

// Outcomes of an exchange.
const (
	// Answered means that the endpoint's response was received completely.
	Answered Outcome = iota
	// NotRun means that the endpoint responded that it did not run the request.
	NotRun
	// NotSent means that nothing was sent to the endpoint.
	NotSent
	// Unknown means that there is no valid response and that the request may
	// have run.
	Unknown
	// Abandoned means that the context ended before the response was received.
	// The request may have run.
	Abandoned
)

// String returns the outcome's name as it is written to logs.
func (o Outcome) String() string {
	return [...]string{"answered", "not-run", "not-sent", "unknown", "abandoned"}[o]
}

// Result is the result of one exchange. Status, Header, Body and Fields are set
// if there is a response.
type Result struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Fields  ResponseFields
	// Err is the reason if there is no response.
	Err error
	// Delivered means that the endpoint's host had acknowledged the whole request when
	// the connection ended without a response.
	Delivered bool
	// Reused means that the connection had been used for an earlier request.
	Reused bool
	// DialTime is the time it took to open a new connection, or 0 if none was
	// opened.
	DialTime time.Duration
	// RoundTrip is an estimate of the round-trip time: the time it took to open
	// the connection, for this request or for an earlier one.
	RoundTrip time.Duration
}

// ConnectionBroken reports whether the endpoint ended the connection before its
// response was complete, as in a crash. took is the duration of the exchange. If
// a reused connection ends within less than a round trip, and its endpoint has not
// acknowledged the request, the endpoint closed it while idle; that does not count.
// The time alone does not show that: opening a connection can take longer than an
// endpoint needs to crash.
func (r Result) ConnectionBroken(took time.Duration) bool {
	if r.Outcome != Unknown || r.Reused && took < r.RoundTrip && !r.Delivered {
		return false
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(r.Err, end) {
			return true
		}
	}
	return false
}

// RequestFields are the values of the header fields that are set on each request
// to an endpoint.
type RequestFields struct {
	// ID is the request ID, which the response repeats.
	ID string
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Expected is the endpoint that the request is meant for.
	Expected model.EndpointID
	// HideKey removes the fields with the caller's API key and tenant name.
	HideKey bool
	// Tenant is the name of the tenant that the request is of, or empty.
	Tenant string
}

// Load is the load that an endpoint reports: its running and waiting requests,
// and its slots, the number of requests that it runs concurrently, or 0 if it
// does not report them.
type Load struct {
	Running, Waiting, Slots int
	// Speed is how long work takes on the endpoint's machine at the moment, as a
	// multiple of the usual time, or 0 if the endpoint does not report it.
	Speed float64
}

// ResponseFields are the values of the header fields in which an endpoint
// reports its state.
type ResponseFields struct {
	// NotRun means that the endpoint did not run the request.
	NotRun bool
	// Misdirected means that the request reached an endpoint other than the
	// expected one.
	Misdirected bool
	// Unproven means that the response is a success without the mark that the endpoint's
	// program gives to each of its own.
	Unproven bool
	// Endpoint is the ID of the endpoint, or empty.
	Endpoint string
	// ColdFor is the rest of the endpoint's cold period, in which it tolerates
	// only a low rate of requests, or 0.
	ColdFor time.Duration
	// Load is the load that the endpoint reported, if HasLoad is set.
	Load    Load
	HasLoad bool
	// BadSpeed is the beginning of a load report whose speed cannot be read.
	BadSpeed string
	// RateLimit is the number of requests per second that the endpoint takes from all
	// instances together, if HasRateLimit is set.
	RateLimit    float64
	HasRateLimit bool
	// Leaving means that the endpoint is leaving and wants no new requests.
	Leaving bool
	// RetryAfter is how long the endpoint, which has refused the request, wants no
	// requests of this instance, or 0. BadRetryAfter is the beginning of a value that
	// cannot be read.
	RetryAfter    time.Duration
	BadRetryAfter string
}

// EndpointProtocol encodes and decodes the header fields of endpoints.
type EndpointProtocol interface {
	// Write sets the header fields of a request.
	Write(http.Header, RequestFields)
	// Read returns the values of a response's header fields.
	Read(status int, h http.Header) ResponseFields
	// RequestID returns the ID of the request that a response belongs to, or an
	// empty string.
	RequestID(http.Header) string
}

// Config configures a Client. The durations are required, except RecentUse.
type Config struct {
	// DialTimeout bounds the time to open a connection. A lost SYN is
	// retransmitted only after a second, so waiting longer than a round trip
	// rarely helps.
	DialTimeout time.Duration
	// UserTimeout is the TCP user timeout: how long sent data may stay
	// unacknowledged.
	UserTimeout time.Duration
	// MaxIdle is how long an idle connection is kept if the endpoint does not
	// announce its keep-alive timeout.
	MaxIdle time.Duration
	// IdleMargin is how long before the endpoint's keep-alive timeout an idle
	// connection is closed, so that the endpoint does not close it while a
	// request is on its way. It does not shorten MaxIdle.
	IdleMargin time.Duration
	// RecentUse is how recently a connection must have been used for a call with
	// RequireRecent. If it is 0, these calls open new connections.
	RecentUse time.Duration
	// RequireFraming rejects responses whose body ends with the connection,
	// because a truncated body cannot be detected.
	RequireFraming bool
	// MaxBodiesInFlight bounds the bytes of request bodies that are in flight to one
	// endpoint; 0 means no limit. A longer body is sent if no other is in flight.
	MaxBodiesInFlight int64
	// Reserve is called before n bytes are held for a response, and Unreserve when
	// they have been received. If Reserve returns false, the response fails. Both may
	// be nil.
	Reserve   func(n int64) bool
	Unreserve func(n int64)
}

// Default returns the default configuration.
func Default() Config {
	return Config{
		// The longest round trip between regions is 70 ms.
		DialTimeout: 300 * time.Millisecond,
		// A lost packet is retransmitted after 200 to 400 ms.
		UserTimeout: time.Second,
		MaxIdle:     4 * time.Second,
		IdleMargin:  time.Second,
		RecentUse:   2 * time.Second,
	}
}

// ErrTooManyBytes means that the bodies in flight to the endpoint would exceed
// Config.MaxBodiesInFlight.
const ErrTooManyBytes = errors.ConstError("limit of the bytes in flight to the endpoint reached")

// ErrNotPermitted means that Call.Permitted returned false.
const ErrNotPermitted = errors.ConstError("endpoint must not get the request any more")

// Errors in Result.Err.
const (
	errUnsolicited       = errors.ConstError("endpoint sent data without a pending request")
	errSwitchedProtocols = errors.ConstError("endpoint switched protocols")
	errTooLarge          = errors.ConstError("response body exceeds the size limit")
	errConnClosed        = errors.ConstError("connection was closed before the request was sent")
	errUnidentified      = errors.ConstError("response without a request ID may belong to an earlier request of the connection")
	errUnproven          = errors.ConstError("success without the mark of the endpoint's program")
	errUnframed          = errors.ConstError("response body has neither a length nor chunks and may be truncated")
)

const (
	// maxResponseBytes bounds the size of a response body, which is kept in
	// memory.
	maxResponseBytes = 8 << 20
	// minStatus is the lowest status code of a final response. Those of interim
	// responses are below.
	minStatus = 200
)

// Target is an endpoint and its address.
type Target struct {
	ID   model.EndpointID
	Addr netip.AddrPort
	// MaxConns is the maximum number of open connections of this instance to
	// the endpoint; 0 means no limit.
	MaxConns int
}

// Do sends the call to the endpoint and waits for the response. If the context
// ends first, Do resets the connection, or does not send the call. The error is the
// cause of the context then.
func (c *Client) Do(ctx context.Context, to Target, call *Call) Result {
	size := call.bodyBytes()
	p := c.pool(to.ID)
	if !p.reserveBody(size) {
		return Result{Outcome: NotSent, Err: ErrTooManyBytes}
	}
	defer p.inFlight.Add(-size)
	for {
		conn, dial, err := c.acquire(ctx, to, call)
		if ctx.Err() != nil {
			if err == nil {
				conn.pool.putBack(conn)
			}
			return Result{Outcome: NotSent, Err: context.Cause(ctx), DialTime: dial}
		}
		if err != nil {
			return Result{Outcome: NotSent, Err: err, DialTime: dial}
		}
		if call.Permitted != nil && !call.Permitted() {
			conn.pool.putBack(conn)
			return Result{Outcome: NotSent, Err: ErrNotPermitted, DialTime: dial}
		}
		reused := conn.served > 0
		res := conn.exchange(ctx, call, c.encodeHead(to, call, size))
		if reused && errors.Is(res.Err, errConnClosed) {
			continue // Closed while idle, which does not concern the call.
		}
		res.Reused, res.DialTime, res.RoundTrip = reused, dial, conn.roundTrip
		return res
	}
}
