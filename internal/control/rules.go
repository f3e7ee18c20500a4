package control

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/configsync"
	"jujubestile.example/jujubestile/internal/store"
)

func revisionInfo(h configsync.Head) RevisionInfo {
	return RevisionInfo{Revision: h.Revision, EditID: h.EditID, Author: h.Author, Time: h.Time}
}

// rules serves the rules in force or an earlier revision.
func (s *server) rules(w http.ResponseWriter, r *http.Request) {
	doc := s.State.Document()
	revision, ok := uintParam(w, r, "revision", doc.Revision)
	if !ok {
		return
	}
	if doc.Revision == 0 {
		writeError(w, http.StatusNotFound, "no rules are in force at this instance")
		return
	}
	if revision != doc.Revision {
		var err error
		doc, err = s.Archive.Revision(r.Context(), revision)
		switch {
		case errors.Is(err, errors.NotFound):
			writeError(w, http.StatusNotFound, fmt.Sprintf("revision %d is not in the history", revision))
			return
		case err != nil:
			writeError(w, http.StatusServiceUnavailable, "the history cannot be read: "+err.Error())
			return
		}
	}
	writeJSON(w, Rules{RevisionInfo: revisionInfo(doc.Head), Text: doc.Text})
}

func (s *server) history(w http.ResponseWriter, r *http.Request) {
	limit, ok := uintParam(w, r, "limit", defaultHistoryLimit)
	if !ok {
		return
	}
	if limit < 1 || limit > configsync.HistoryLength {
		writeError(w, http.StatusBadRequest, fmt.Sprintf("limit is 1 to %d", configsync.HistoryLength))
		return
	}
	heads, err := s.Archive.History(r.Context(), int(limit))
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "the history cannot be read: "+err.Error())
		return
	}
	out := History{Revisions: []RevisionInfo{}}
	for _, h := range heads {
		out.Revisions = append(out.Revisions, revisionInfo(h))
	}
	writeJSON(w, out)
}

// uintParam returns a numeric query parameter, or defaultValue if it is missing.
// If it is malformed, it writes an error response and returns false.
func uintParam(w http.ResponseWriter, r *http.Request, name string, defaultValue uint64) (uint64, bool) {
	v := r.URL.Query().Get(name)
	if v == "" {
		return defaultValue, true
	}
	n, err := strconv.ParseUint(v, 10, 63)
	if err != nil {
		writeError(w, http.StatusBadRequest, name+" is a whole number")
		return 0, false
	}
	return n, true
}

var _ Editor = (*configsync.Editor)(nil)

// statusByOutcome maps the outcomes of edits other than Accepted to HTTP status
// codes.
var statusByOutcome = map[configsync.Outcome]int{
	configsync.Conflict:    http.StatusConflict,
	configsync.Invalid:     http.StatusUnprocessableEntity,
	configsync.Unavailable: http.StatusServiceUnavailable,
	configsync.Unknown:     http.StatusGatewayTimeout,
}

func (s *server) edit(w http.ResponseWriter, r *http.Request) {
	var q EditRequest
	if !readBody(w, r, &q) {
		return
	}
	// An edit that has begun is completed even if the operator disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), EditTimeout)
	defer cancel()
	res := s.Editor.Edit(ctx, configsync.Request{Text: q.Text, Author: q.Author, Base: q.Base, BaseEditID: q.BaseEditID, EditID: q.EditID})
	if res.Outcome == configsync.Accepted {
		writeJSON(w, EditReply{revisionInfo(res.Head)})
		return
	}
	p := Problem{
		Status:  statusByOutcome[res.Outcome],
		Detail:  res.Detail,
		Outcome: string(res.Outcome),
		Changes: res.Changes,
		Faults:  res.Faults,
	}
	if res.Outcome == configsync.Conflict {
		winner := revisionInfo(res.Head)
		p.Winner = &winner
	}
	writeProblem(w, p)
}

// archive is an Archive that reads from the store.
type archive struct {
	store store.Store
	state *configsync.State
}

// NewArchive returns an Archive that reads the history from the store. The state
// provides the current revision.
func NewArchive(s store.Store, state *configsync.State) Archive {
	return &archive{store: s, state: state}
}

func (a *archive) Revision(ctx context.Context, revision uint64) (configsync.Document, error) {
	d, err := configsync.HistoryEntry(ctx, a.store, revision)
	if errors.Is(err, store.ErrNotFound) {
		return d, errors.NotFoundf("revision %d", revision)
	}
	return d, errors.Trace(err)
}

func (a *archive) History(ctx context.Context, limit int) ([]configsync.Head, error) {
	heads, err := configsync.History(ctx, a.store, a.state.Head().Revision, limit)
	return heads, errors.Trace(err)
}
