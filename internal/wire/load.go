package wire

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
)

// LoadHeader is the header field with an endpoint's load report in ORCA format
// (Open Request Cost Aggregation): "TEXT name=value, ..." or "JSON {...}".
const LoadHeader = "Endpoint-Load-Metrics"

// maxLoadBytes is the largest length of a load report. Longer ones are ignored.
const maxLoadBytes = 4 << 10

// maxUtilization is the largest utilization that is returned. Values above 1
// stand for requests that wait at the endpoint.
const maxUtilization = 10

// Utilization returns the utilization in the load report of a response: 0 is
// idle, 1 is full, and more than 1, up to maxUtilization, means that requests
// wait. It returns -1 if there is no valid report. The application utilization
// takes precedence over the CPU utilization.
func Utilization(h http.Header) float64 {
	form, report, ok := strings.Cut(strings.TrimSpace(h.Get(LoadHeader)), " ")
	if !ok || len(report) > maxLoadBytes {
		return -1
	}
	var values map[string]float64
	switch strings.ToUpper(form) {
	case "TEXT":
		values = parseTextLoad(report)
	case "JSON":
		values = parseJSONLoad(report)
	}
	for _, name := range []string{"application_utilization", "cpu_utilization"} {
		if v, ok := values[name]; ok && v >= 0 && !math.IsNaN(v) {
			return min(v, maxUtilization)
		}
	}
	return -1
}

func parseTextLoad(report string) map[string]float64 {
	values := map[string]float64{}
	for field := range strings.SplitSeq(report, ",") {
		name, text, ok := strings.Cut(field, "=")
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err == nil {
			values[strings.TrimSpace(name)] = v
		}
	}
	return values
}

func parseJSONLoad(report string) map[string]float64 {
	var fields map[string]any
	if json.Unmarshal([]byte(report), &fields) != nil {
		return nil
	}
	values := map[string]float64{}
	for name, field := range fields {
		if v, ok := field.(float64); ok {
			values[name] = v
		}
	}
	return values
}
