package instancelist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/httpstrict"
	"jujubestile.example/jujubestile/internal/model"
)

const (
	// listTimeout is the timeout of one request for the list.
	listTimeout = 2 * time.Second
	// maxListBytes is the maximum size of the list. It allows for 4,900 entry
	// instances and several thousand endpoints of about 200 bytes each.
	maxListBytes = 8 << 20
)

// PathInstances is the path of the list at the platform.
const PathInstances = "/v1/instances"

// StateLeaving is the state of an instance or endpoint that is about to stop.
const StateLeaving = "leaving"

// EndpointRecord is an endpoint in the JSON form of the list.
type EndpointRecord struct {
	ID      model.EndpointID `json:"id"`
	Service model.Service    `json:"service"`
	Region  model.Region     `json:"region"`
	Domain  model.Domain     `json:"domain"`
	Addr    netip.AddrPort   `json:"addr"`
	// Slots is how many requests the endpoint runs concurrently.
	Slots int `json:"slots"`
	// State is StateLeaving, or any other value for a live endpoint.
	State string `json:"state"`
}

// EntryRecord is an entry instance in the JSON form of the list.
type EntryRecord struct {
	ID          model.InstanceID `json:"id"`
	Region      model.Region     `json:"region"`
	Domain      model.Domain     `json:"domain"`
	EntryAddr   netip.AddrPort   `json:"entry_addr"`
	PeerAddr    netip.AddrPort   `json:"peer_addr"`
	ControlAddr netip.AddrPort   `json:"control_addr"`
	// State is StateLeaving, or any other value for a live instance.
	State string `json:"state"`
}

// Document is the JSON form of the list.
type Document struct {
	Endpoints []EndpointRecord `json:"endpoints"`
	Entries   []EntryRecord    `json:"entries"`
}

// Client reads the list over HTTP. It implements Source.
type Client struct {
	url  string
	http *http.Client

	// mu guards the last listing and its entity tag (RFC 9110 section 8.8.3).
	// The platform does not resend an unchanged list. A list of 11 KB, sent
	// each second, would take over five times the 2 KB/s that an instance may
	// use for control traffic.
	mu   sync.Mutex
	etag string
	last Listing
}

var _ Source = (*Client)(nil)

// NewClient returns a client for the list at a base URL, for example
// "http://10.0.0.6:8500".
func NewClient(base string) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}
	return &Client{url: base + PathInstances, http: &http.Client{Transport: httpstrict.Transport(t)}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// List implements Source. It returns an error for a truncated or malformed list,
// so that such a list is never mistaken for missing instances. The listing is
// shared between calls and must not be modified.
func (c *Client) List(ctx context.Context) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return Listing{}, errors.Trace(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Listing{}, errors.Annotate(err, "requesting the platform's list")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && c.etag != "" {
		return c.last, nil
	}
	if resp.StatusCode != http.StatusOK {
		return Listing{}, errors.Errorf("platform's list: status %d", resp.StatusCode)
	}
	var d Document
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&d); err != nil {
		return Listing{}, errors.Annotate(err, "decoding the platform's list")
	}
	l, err := d.listing()
	if err == nil {
		c.etag, c.last = resp.Header.Get("ETag"), l
	}
	return l, err
}

// listing validates the document and converts it.
func (d Document) listing() (Listing, error) {
	var l Listing
	for _, e := range d.Endpoints {
		if e.ID == "" || !e.Addr.IsValid() || e.Slots < 1 {
			return Listing{}, errors.NotValidf("endpoint %q in the platform's list", e.ID)
		}
		l.Endpoints = append(l.Endpoints, model.Endpoint{
			ID: e.ID, Service: e.Service, Region: e.Region, Domain: e.Domain,
			Addr: e.Addr, Slots: e.Slots, Leaving: e.State == StateLeaving,
		})
	}
	for _, e := range d.Entries {
		if e.ID == "" || !e.PeerAddr.IsValid() || !e.EntryAddr.IsValid() {
			return Listing{}, errors.NotValidf("entry instance %q in the platform's list", e.ID)
		}
		l.Entries = append(l.Entries, model.EntryInstance{
			ID: e.ID, Region: e.Region, Domain: e.Domain, EntryAddr: e.EntryAddr,
			PeerAddr: e.PeerAddr, ControlAddr: e.ControlAddr, Leaving: e.State == StateLeaving,
		})
	}
	return l, nil
}
