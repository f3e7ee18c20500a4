package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Entry is an entry instance that this caller may use.
type Entry struct {
	ID        string `json:"id"`
	Addr      string `json:"addr"`
	Region    string `json:"region"`
	KeyPrefix string `json:"key_prefix"`
}

const (
	// refreshTimeout limits one request for the list.
	refreshTimeout = time.Second
	// refreshRetryDelay is the time between refreshes while they fail. The last
	// list is used meanwhile.
	refreshRetryDelay = time.Second
	// demotionPeriod is how long an instance is tried last after a failed
	// exchange.
	demotionPeriod = 2 * time.Second
	maxTTL         = 10 * time.Minute
)

var errNoEntries = errors.New("no entry instance is known")

type exchangeFunc func(ctx context.Context, addr, method, path string, h http.Header, body []byte) (*reply, error)

// directory caches the list of entry instances.
type directory struct {
	cfg      Config
	exchange exchangeFunc

	// refreshing is a semaphore that allows one refresh at a time.
	refreshing chan struct{}

	mu           sync.Mutex
	entries      []Entry
	expires      time.Time
	demotedUntil map[string]time.Time
}

func newDirectory(cfg Config, exchange exchangeFunc) *directory {
	return &directory{cfg: cfg, exchange: exchange, refreshing: make(chan struct{}, 1), demotedUntil: map[string]time.Time{}}
}

// list returns the instances in order of preference, with demoted ones last. It
// refreshes the list if it has expired.
func (d *directory) list(ctx context.Context) ([]Entry, error) {
	if entries, fresh := d.cached(); fresh {
		return entries, nil
	}
	select {
	case d.refreshing <- struct{}{}:
		defer func() { <-d.refreshing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	entries, fresh := d.cached()
	if fresh {
		return entries, nil
	}
	err := d.refresh(ctx, entries)
	entries, _ = d.cached()
	if len(entries) == 0 {
		return nil, errors.Join(errNoEntries, err)
	}
	return entries, nil
}

// cached returns the current list and whether it is still valid.
func (d *directory) cached() ([]Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	out := slices.Clone(d.entries)
	slices.SortStableFunc(out, func(a, b Entry) int {
		return boolToInt(now.Before(d.demotedUntil[a.Addr])) - boolToInt(now.Before(d.demotedUntil[b.Addr]))
	})
	return out, len(out) > 0 && now.Before(d.expires)
}

// refresh requests the list from the known instances and then from the bootstrap
// addresses, until one succeeds.
func (d *directory) refresh(ctx context.Context, known []Entry) error {
	var addrs []string
	for _, e := range known {
		addrs = append(addrs, e.Addr)
	}
	err := errNoEntries
	for _, addr := range append(addrs, d.cfg.Bootstrap...) {
		var entries []Entry
		var ttl time.Duration
		if entries, ttl, err = d.fetch(ctx, addr); err == nil {
			d.set(entries, ttl)
			return nil
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expires = time.Now().Add(refreshRetryDelay)
	return err
}

// fetch requests the list and its time to live from one instance.
func (d *directory) fetch(ctx context.Context, addr string) ([]Entry, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	path := "/v1/entries"
	if d.cfg.CallerAddr != "" {
		path += "?caller=" + url.QueryEscape(d.cfg.CallerAddr)
	}
	r, err := d.exchange(ctx, addr, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, 0, err
	}
	var list struct {
		TTL     int64   `json:"ttl_ms"`
		Entries []Entry `json:"entries"`
	}
	if r.status != http.StatusOK {
		return nil, 0, fmt.Errorf("list of entry instances: status %d", r.status)
	}
	if err := json.Unmarshal(r.body, &list); err != nil {
		return nil, 0, fmt.Errorf("list of entry instances: %w", err)
	}
	if len(list.Entries) == 0 {
		return nil, 0, errNoEntries
	}
	return list.Entries, ttlOf(r.header, time.Duration(list.TTL)*time.Millisecond), nil
}

// ttlOf returns the shorter of the given time to live and max-age in
// Cache-Control, but at most maxTTL.
func ttlOf(h http.Header, ttl time.Duration) time.Duration {
	for directive := range strings.SplitSeq(h.Get("Cache-Control"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(directive), "max-age=")
		if seconds, err := strconv.ParseUint(value, 10, 31); ok && err == nil {
			ttl = min(ttl, time.Duration(seconds)*time.Second)
		}
	}
	return min(max(ttl, 0), maxTTL)
}

func (d *directory) set(entries []Entry, ttl time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = entries
	d.expires = time.Now().Add(ttl)
	for addr, until := range d.demotedUntil {
		if time.Now().After(until) {
			delete(d.demotedUntil, addr)
		}
	}
}

// demote moves an instance to the end of the list for demotionPeriod.
func (d *directory) demote(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.demotedUntil[addr] = time.Now().Add(demotionPeriod)
}

// applyProblem updates the list from problem details: the key prefix of the
// instance at addr, and the other instances if it is about to stop.
func (d *directory) applyProblem(addr string, p *problem) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.entries {
		if d.entries[i].Addr == addr && p.KeyPrefix != "" {
			d.entries[i].KeyPrefix = p.KeyPrefix
		}
	}
	if len(p.Entries) > 0 {
		d.entries = p.Entries
		d.expires = time.Now().Add(refreshRetryDelay)
	}
}
