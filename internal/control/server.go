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
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

const (
	// maxBodyBytes bounds small bodies.
	maxBodyBytes = 4 << 10
	// maxEditBytes bounds the body of an edit: the JSON form of the text may
	// escape characters that StoredBytes counts once.
	maxEditBytes = 2*rules.MaxStoredBytes + maxBodyBytes
	// maxQueryBytes bounds each parameter of a query.
	maxQueryBytes = 2 << 10
	// requestTimeout bounds requests except edits.
	requestTimeout = 3 * time.Second
	// EditTimeout bounds an edit at the instance. Within it the store has time
	// for several attempts after a lost response.
	EditTimeout = 6 * time.Second
	// defaultHistory is the number of revisions listed without a limit.
	defaultHistory = 20
)

// Fleet knows the entry instances.
type Fleet interface {
	// Self names this instance.
	Self() model.InstanceID
	// Members returns all instances that this one knows, itself included.
	Members(now time.Time) []Member
}

// Lookup finds entry instances for callers.
type Lookup interface {
	// Entries returns the instances for a caller in order, and how long the
	// answer may be used.
	Entries(now time.Time, caller netip.Addr) ([]Entry, time.Duration)
}

// Drainer drains instances. It works without the store.
type Drainer interface {
	// SetDraining starts or ends the drain of an instance. An unknown instance
	// is a NotFound error (juju/errors).
	SetDraining(ctx context.Context, id model.InstanceID, draining bool, author string) error
}

// Explainer describes how requests of a service are routed now.
type Explainer interface {
	// Regions returns one view for each region of the rules. Weight, Capacity
	// and Drained are filled in from the rules by the caller.
	Regions(now time.Time, s model.Service) []RegionView
}

// Editor writes edits of the rules; configsync.Editor is one.
type Editor interface {
	Edit(ctx context.Context, r configsync.Request) configsync.Result
}

// Archive reads earlier revisions of the rules.
type Archive interface {
	// Revision returns one revision or a NotFound error (juju/errors).
	Revision(ctx context.Context, revision uint64) (configsync.Document, error)
	// History returns up to limit revisions, the newest first.
	History(ctx context.Context, limit int) ([]configsync.Head, error)
}

// Ready reports whether the instance can serve callers, and if not, why.
type Ready func() (ready bool, reason string)

// Dependencies are what the interface shows and acts on. All are needed.
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

// NewHandler returns the operators' interface.
func NewHandler(s Dependencies) http.Handler {
	h := &server{s}
	r := chi.NewRouter()
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		fail(w, http.StatusNotFound, "there is no such resource")
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		fail(w, http.StatusMethodNotAllowed, "the resource does not support "+r.Method)
	})
	r.Group(func(r chi.Router) {
		r.Use(limit(requestTimeout, maxBodyBytes))
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
	r.With(limit(EditTimeout, maxEditBytes)).Post(PathRules, h.edit)
	// A page that an operator's browser shows must not post edits.
	origin := http.NewCrossOriginProtection()
	origin.SetDenyHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fail(w, http.StatusForbidden, "requests of other origins are refused")
	}))
	return origin.Handler(r)
}

// NewServer returns an HTTP server with bounds that suit the interface.
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

// limit bounds the time and the body of a request.
func limit(timeout time.Duration, body int64) func(http.Handler) http.Handler {
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
	reply(w, struct {
		Live bool `json:"live"`
	}{true})
}

func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	ok, reason := s.Ready()
	if !ok {
		fail(w, http.StatusServiceUnavailable, reason)
		return
	}
	reply(w, struct {
		Ready bool `json:"ready"`
	}{true})
}

// read decodes a JSON body into v. It answers the request and returns false if
// that fails.
func read(w http.ResponseWriter, r *http.Request, v any) bool {
	if t, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || t != jsonType {
		fail(w, http.StatusUnsupportedMediaType, "the body must be "+jsonType)
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
	case errors.As(err, &tooLarge):
		fail(w, http.StatusRequestEntityTooLarge, "the body is too large")
	case err != nil:
		fail(w, http.StatusBadRequest, "the body cannot be read: "+err.Error())
	default:
		return true
	}
	return false
}

func reply(w http.ResponseWriter, v any) {
	send(w, http.StatusOK, jsonType, v)
}

func fail(w http.ResponseWriter, status int, detail string) {
	sendProblem(w, Problem{Status: status, Detail: detail})
}

func sendProblem(w http.ResponseWriter, p Problem) {
	p.Type = "about:blank"
	p.Title = http.StatusText(p.Status)
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	send(w, p.Status, problemType, p)
}

// send ignores errors of the connection: nobody is left to tell.
func send(w http.ResponseWriter, status int, contentType string, v any) {
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
