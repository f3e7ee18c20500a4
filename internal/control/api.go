// Package control serves operators over HTTP: status, explanations, drains and
// the rules. It also has the client of that interface.
package control

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

// Paths of the interface.
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
	// Revision of the rules in force there, 0 if not known.
	Revision uint64 `json:"revision"`
	// Draining means that an operator has drained the instance.
	Draining bool `json:"draining,omitempty"`
	// ReportAge is the age in seconds of what is known.
	ReportAge float64 `json:"report_age_seconds"`
}

// StateDead marks members that take no part any more.
const StateDead = "dead"

// Status is the answer to PathStatus.
type Status struct {
	// Self is the instance that answers.
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
	// Reason says why the instance is named.
	Reason string `json:"reason,omitempty"`
}

// Entries is the answer to PathEntries, the instance to use first at the
// start.
type Entries struct {
	Caller  string  `json:"caller"`
	TTL     float64 `json:"ttl_seconds"`
	Entries []Entry `json:"entries"`
}

// RegionView is what an instance knows of one region for one service.
type RegionView struct {
	Region model.Region `json:"region"`
	// Weight is the share that the rules ask for, from 0 to 1.
	Weight float64 `json:"weight"`
	// Capacity is the region's capacity in slots by the rules, Slots how many
	// this instance may use now, and Free how many of these are free.
	Capacity int `json:"capacity"`
	Slots    int `json:"slots"`
	Free     int `json:"free"`
	// Endpoints is how many endpoints this instance may choose from.
	Endpoints int  `json:"endpoints"`
	Drained   bool `json:"drained,omitempty"`
	// ShiftCapped means that the cap on traffic shifts holds requests back.
	ShiftCapped bool `json:"shift_capped,omitempty"`
}

// Explanation is the answer to PathExplain: what would become of a request.
type Explanation struct {
	Service    model.Service  `json:"service"`
	Method     string         `json:"method"`
	Path       string         `json:"path"`
	Priority   model.Priority `json:"priority"`
	Repeatable bool           `json:"repeatable"`
	Held       bool           `json:"held,omitempty"`
	// Caller and CallerRegion are empty without a caller in the query.
	Caller       string       `json:"caller,omitempty"`
	CallerRegion model.Region `json:"caller_region,omitempty"`
	Revision     uint64       `json:"revision"`
	Regions      []RegionView `json:"regions"`
}

// DrainRequest is the body for PathDrain and PathUndrain.
type DrainRequest struct {
	Instance model.InstanceID `json:"instance"`
	Author   string           `json:"author"`
}

// DrainReply is the answer to it.
type DrainReply struct {
	Instance model.InstanceID `json:"instance"`
	Draining bool             `json:"draining"`
}

// RevisionInfo describes one revision of the rules.
type RevisionInfo struct {
	Revision uint64    `json:"revision"`
	EditID   string    `json:"edit_id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
}

// Rules is the answer to PathRules.
type Rules struct {
	RevisionInfo
	Text string `json:"text"`
}

// History is the answer to PathHistory, the newest revision first.
type History struct {
	Revisions []RevisionInfo `json:"revisions"`
}

// EditRequest is the body of a POST to PathRules. Sending it again with the
// same EditID has no further effect.
type EditRequest struct {
	Text   string `json:"text"`
	Author string `json:"author"`
	// Base is the revision that was edited, 0 for the first edit.
	Base   uint64 `json:"base_revision"`
	EditID string `json:"edit_id"`
}

// EditReply is the answer to an accepted edit.
type EditReply struct {
	RevisionInfo
}

// Problem is an error as RFC 9457 describes it, with members of our own after
// Detail.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is that of an edit, as in package configsync.
	Outcome string `json:"outcome,omitempty"`
	// Winner and Changes describe the edit that won a conflict.
	Winner  *RevisionInfo  `json:"winner,omitempty"`
	Changes []rules.Change `json:"changes,omitempty"`
	// Faults are those of a refused text.
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
