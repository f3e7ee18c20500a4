package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/httpstrict"
)

// instanceTimeout bounds the request to the metrics address of one instance.
const instanceTimeout = 3 * time.Second

// maxMetricsBytes bounds the metrics of one instance: 4 KB for each of 10,000 endpoints.
const maxMetricsBytes = 40 << 20

// metricsClient reads metrics.
var metricsClient = &http.Client{Transport: httpstrict.Transport(&http.Transport{DisableKeepAlives: true})}

// instanceState is what the metrics of an instance on the users' platform say of its
// desired state.
type instanceState struct {
	Address string `json:"address"`
	// Error is set if the metrics could not be read. The other fields are then unset.
	Error   string  `json:"error,omitempty"`
	Ready   bool    `json:"ready"`
	Version uint64  `json:"desired_state"`
	Routes  int     `json:"desired_routes"`
	UpS     float64 `json:"up_s"`
	// Rejected describes the newest desired state if the instance rejects it.
	Rejected *struct {
		Since time.Time `json:"since"`
		Name  string    `json:"name"`
		Field string    `json:"field"`
		Error string    `json:"error"`
	} `json:"rejected_state"`
}

func instancesCommand(a *app) *simpleCommand {
	const usage = "instances METRICS-ADDRESS..."
	return &simpleCommand{command{"instances", "Show the desired state in force at instances on the users' platform, and which of them reject the newest one", usage}, a, func(ctx context.Context, f *flag.FlagSet) error {
		if f.NArg() == 0 {
			return usageError("usage: jujubectl " + usage)
		}
		var states []instanceState
		var failed []string
		for _, address := range f.Args() {
			s := readInstance(ctx, address)
			states = append(states, s)
			if s.Error != "" {
				failed = append(failed, address)
			}
		}
		a.show(states, func(w io.Writer) { instancesTable(w, states) })
		if len(failed) > 0 {
			return errors.Errorf("no metrics from %s", strings.Join(failed, ", "))
		}
		return nil
	}}
}

// readInstance reads the metrics of one instance.
func readInstance(ctx context.Context, address string) instanceState {
	ctx, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	out := instanceState{Address: address}
	if err := getJSON(ctx, "http://"+address+"/debug/vars", &out); err != nil {
		return instanceState{Address: address, Error: err.Error()}
	}
	return out
}

func getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := metricsClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxMetricsBytes+1))
	if err == nil && len(text) > maxMetricsBytes {
		err = errors.Errorf("metrics of more than %d bytes", maxMetricsBytes)
	}
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(json.Unmarshal(text, into))
}

func instancesTable(w io.Writer, states []instanceState) {
	writeRow(w, "ADDRESS", "READY", "STATE", "ROUTES", "UP", "REJECTED SINCE", "WHY")
	for _, s := range states {
		if s.Error != "" {
			writeRow(w, s.Address, "-", "-", "-", "-", "-", s.Error)
			continue
		}
		since, why := "-", "-"
		if r := s.Rejected; r != nil {
			since, why = r.Since.Format(time.RFC3339), r.Error
		}
		writeRow(w, s.Address, yesNo(s.Ready), fmt.Sprint(s.Version), s.Routes, seconds(s.UpS), since, why)
	}
}
