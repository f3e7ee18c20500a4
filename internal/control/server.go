package control

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"mime"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/configsync"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

const (
	// maxBodyBytes limits the bodies of requests other than edits.
	maxBodyBytes = 4 << 10
	// maxEditBytes limits the body of an edit. It allows for JSON escapes of
	// characters that StoredBytes counts once.
	maxEditBytes = 2*rules.MaxStoredBytes + maxBodyBytes
	// maxQueryBytes limits each query parameter.
	maxQueryBytes = 2 << 10
	// requestTimeout limits requests other than edits.
	requestTimeout = 3 * time.Second
	// EditTimeout limits an edit at the instance. It leaves time for several
	// attempts at the store if a response from it is lost.
	EditTimeout = 6 * time.Second
	// defaultHistoryLimit is the number of revisions listed if the query sets
	// no limit.
	defaultHistoryLimit = 20
)

// Fleet provides the known entry instances.
type Fleet interface {
	// Self returns the ID of this instance.
	Self() model.InstanceID
	// Members returns all known instances, including this one.
	Members(now time.Time) []Member
}

// Lookup selects entry instances for callers.
type Lookup interface {
	// Entries returns the instances for a caller in order of preference, and
	// how long the caller may cache them.
	Entries(now time.Time, caller netip.Addr) ([]Entry, time.Duration)
}

// Drainer starts and ends drains of instances. It must work while the store is
// unavailable.
type Drainer interface {
	// SetDraining starts or ends the drain of an instance. For an unknown
	// instance it returns a NotFound error (juju/errors).
	SetDraining(ctx context.Context, id model.InstanceID, draining bool, author string) error
}

// Explainer describes how requests to a service are currently routed.
type Explainer interface {
	// Regions returns one view for each region in the rules. The handler sets
	// Weight, Capacity and Drained from the rules.
	Regions(now time.Time, s model.Service) []RegionView
}

// Editor commits edits of the rules. It is implemented by configsync.Editor.
type Editor interface {
	Edit(ctx context.Context, r configsync.Request) configsync.Result
}

// Archive reads stored revisions of the rules.
type Archive interface {
	// Revision returns one revision or a NotFound error (juju/errors).
	Revision(ctx context.Context, revision uint64) (configsync.Document, error)
	// History returns up to limit revisions, the newest first.
	History(ctx context.Context, limit int) ([]configsync.Head, error)
}

// Ready reports whether the instance can serve callers, and if not, the reason.
type Ready func() (ready bool, reason string)

// Dependencies are what the handler reads from and acts on. All are required.
type Dependencies struct {
	State     *configsync.State
	Editor    Editor
	Archive   Archive
	Fleet     Fleet
	Lookup    Lookup
	Drainer   Drainer
	Explainer Explainer
	Ready     Ready
	Now       func() time.Time
}

type server struct{ Dependencies }

// NewHandler returns the handler of the operators' API.
func NewHandler(s Dependencies) http.Handler {
	h := &server{s}
	r := chi.NewRouter()
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusNotFound, "there is no such resource")
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, http.StatusMethodNotAllowed, "the resource does not support "+r.Method)
	})
	r.Group(func(r chi.Router) {
		r.Use(limitRequest(requestTimeout, maxBodyBytes))
		r.Get(PathStatus, h.status)
		r.Get(PathEntries, h.entries)
		r.Get(PathExplain, h.explain)
		r.Post(PathDrain, h.drain(true))
		r.Post(PathUndrain, h.drain(false))
		r.Get(PathRules, h.rules)
		r.Get(PathHistory, h.history)
		r.Get(PathReady, h.ready)
		r.Get(PathLive, h.live)
		r.Method(http.MethodGet, PathVars, expvar.Handler())
	})
	r.With(limitRequest(EditTimeout, maxEditBytes)).Post(PathRules, h.edit)
	// A web page opened in an operator's browser must not be able to post edits.
	origin := http.NewCrossOriginProtection()
	origin.SetDenyHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusForbidden, "requests of other origins are refused")
	}))
	return origin.Handler(r)
}

// NewServer returns an HTTP server with timeouts and limits for the API.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: 2 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      10*time.Second + EditTimeout,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    16 << 10,
	}
}

// limitRequest returns middleware that limits the duration and the body size of
// requests.
func limitRequest(timeout time.Duration, body int64) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), timeout)
			defer cancel()
			r.Body = http.MaxBytesReader(w, r.Body, body)
			next.ServeHTTP(w, r.WithContext(ctx))
		})
	}
}

func (s *server) live(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, struct {
		Live bool `json:"live"`
	}{true})
}

func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	ok, reason := s.Ready()
	if !ok {
		writeError(w, http.StatusServiceUnavailable, reason)
		return
	}
	writeJSON(w, struct {
		Ready bool `json:"ready"`
	}{true})
}

// readBody decodes a JSON body into v. If that fails, it writes an error response
// and returns false.
func readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	if t, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || t != jsonType {
		writeError(w, http.StatusUnsupportedMediaType, "the body must be "+jsonType)
		return false
	}
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		if _, err = d.Token(); err == nil {
			err = errors.New("more than one JSON value")
		} else if err == io.EOF {
			err = nil
		}
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, forward.ErrBodyRefused):
		writeError(w, http.StatusServiceUnavailable, "too many bodies in memory")
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, "the body is too large")
	case err != nil:
		writeError(w, http.StatusBadRequest, "the body cannot be read: "+err.Error())
	default:
		return true
	}
	return false
}

func writeJSON(w http.ResponseWriter, v any) {
	writeResponse(w, http.StatusOK, jsonType, v)
}

func writeError(w http.ResponseWriter, status int, detail string) {
	writeProblem(w, Problem{Status: status, Detail: detail})
}

func writeProblem(w http.ResponseWriter, p Problem) {
	p.Type = "about:blank"
	p.Title = http.StatusText(p.Status)
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeResponse(w, p.Status, problemType, p)
}

// writeResponse encodes v as the response body. Write errors are ignored because
// they mean that the client has disconnected.
func writeResponse(w http.ResponseWriter, status int, contentType string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "the answer cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}
