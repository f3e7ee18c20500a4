// Package control implements the operators' HTTP API: status, explanations,
// drains and edits of the rules. It also contains the client of that API.
package control

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

// Paths of the API.
const (
	PathStatus  = "/v1/status"
	PathEntries = "/v1/entries"
	PathExplain = "/v1/explain"
	PathDrain   = "/v1/drain"
	PathUndrain = "/v1/undrain"
	PathRules   = "/v1/rules"
	PathHistory = "/v1/rules/history"
	PathReady   = "/v1/ready"
	PathLive    = "/v1/live"
	PathVars    = "/debug/vars"
)

// Member is what an instance knows of one entry instance.
type Member struct {
	ID     model.InstanceID `json:"id"`
	Region model.Region     `json:"region"`
	Domain model.Domain     `json:"domain"`
	// State is alive, suspect, leaving or dead.
	State string `json:"state"`
	// Revision is the revision of the rules in force there, 0 if unknown.
	Revision uint64 `json:"revision"`
	// Draining means that an operator has drained the instance.
	Draining bool `json:"draining,omitempty"`
	// ReportAge is the age of this information in seconds.
	ReportAge float64 `json:"report_age_seconds"`
}

// StateDead is the state of members that have stopped or failed.
const StateDead = "dead"

// Status is the response to PathStatus.
type Status struct {
	// Self is the instance that responds.
	Self  model.InstanceID `json:"self"`
	Ready bool             `json:"ready"`
	// Revision, EditID and Author describe the rules in force at Self.
	Revision uint64   `json:"revision"`
	EditID   string   `json:"edit_id,omitempty"`
	Author   string   `json:"author,omitempty"`
	Members  []Member `json:"members"`
}

// Entry is one entry instance that a caller may use.
type Entry struct {
	Instance model.InstanceID `json:"instance"`
	Region   model.Region     `json:"region"`
	Address  string           `json:"address"`
	// Reason says why the instance was selected.
	Reason string `json:"reason,omitempty"`
}

// Entries is the response to PathEntries, with the preferred instance first.
type Entries struct {
	Caller string `json:"caller"`
	// TTL is how long the caller may cache the response, in seconds.
	TTL     float64 `json:"ttl_seconds"`
	Entries []Entry `json:"entries"`
}

// RegionView is what an instance knows of one region for one service.
type RegionView struct {
	Region model.Region `json:"region"`
	// Weight is the traffic share that the rules assign, from 0 to 1.
	Weight float64 `json:"weight"`
	// Capacity is the region's capacity in slots according to the rules. Slots
	// is the number of slots that this instance may use now, and Free the
	// number of these that are free.
	Capacity int `json:"capacity"`
	Slots    int `json:"slots"`
	Free     int `json:"free"`
	// Endpoints is the number of endpoints that this instance may choose from.
	Endpoints int `json:"endpoints"`
	// Drained means that the rules drain all failure domains of the region.
	Drained bool `json:"drained,omitempty"`
	// ShiftCapped means that the limit on traffic shifts keeps requests from
	// the region.
	ShiftCapped bool `json:"shift_capped,omitempty"`
}

// Explanation is the response to PathExplain: how a request would be classified
// and routed.
type Explanation struct {
	Service    model.Service  `json:"service"`
	Method     string         `json:"method"`
	Path       string         `json:"path"`
	Priority   model.Priority `json:"priority"`
	Repeatable bool           `json:"repeatable"`
	// Held means that the rules hold the service: it keeps its traffic shares.
	Held bool `json:"held,omitempty"`
	// Caller and CallerRegion are empty without a caller in the query.
	Caller       string       `json:"caller,omitempty"`
	CallerRegion model.Region `json:"caller_region,omitempty"`
	// Revision is the revision of the rules in force at the instance that
	// responds.
	Revision uint64       `json:"revision"`
	Regions  []RegionView `json:"regions"`
}

// DrainRequest is the body for PathDrain and PathUndrain.
type DrainRequest struct {
	Instance model.InstanceID `json:"instance"`
	Author   string           `json:"author"`
}

// DrainReply is the response to PathDrain and PathUndrain.
type DrainReply struct {
	Instance model.InstanceID `json:"instance"`
	Draining bool             `json:"draining"`
}

// RevisionInfo describes a revision of the rules.
type RevisionInfo struct {
	Revision uint64    `json:"revision"`
	EditID   string    `json:"edit_id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
}

// Rules is the response to PathRules.
type Rules struct {
	RevisionInfo
	Text string `json:"text"`
}

// History is the response to PathHistory, with the newest revision first.
type History struct {
	Revisions []RevisionInfo `json:"revisions"`
}

// EditRequest is the body of a POST to PathRules. Sending it again with the same
// EditID has no further effect.
type EditRequest struct {
	Text   string `json:"text"`
	Author string `json:"author"`
	// Base is the revision that the edit is based on, 0 for the first edit.
	Base uint64 `json:"base_revision"`
	// BaseEditID is the edit ID of that revision, if it is known.
	BaseEditID string `json:"base_edit_id,omitempty"`
	EditID     string `json:"edit_id"`
}

// EditReply is the response to an accepted edit.
type EditReply struct {
	RevisionInfo
}

// Problem is a problem details object (RFC 9457) with extension members after
// Detail.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is the outcome of an edit, as defined by package configsync.
	Outcome string `json:"outcome,omitempty"`
	// Winner and Changes describe the edit that caused a conflict.
	Winner  *RevisionInfo  `json:"winner,omitempty"`
	Changes []rules.Change `json:"changes,omitempty"`
	// Faults are the errors in an invalid rules text.
	Faults *rules.ErrorList `json:"faults,omitempty"`
}

func (p *Problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Detail
}

const (
	problemType = "application/problem+json"
	jsonType    = "application/json"
)
