package wire

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
)

// LoadHeader carries an endpoint's load report in the form of ORCA (Open
// Request Cost Aggregation): "TEXT name=value, ..." or "JSON {...}".
const LoadHeader = "Endpoint-Load-Metrics"

// maxLoadBytes bounds a load report.
const maxLoadBytes = 4 << 10

// maxUtilization bounds a report: requests that wait count as load above 1.
const maxUtilization = 10

// Utilization returns the load in a response's report, 0 being idle and 1
// full, or -1 without a valid report. The application's own figure precedes
// that of the processor. Requests that wait make it larger than 1, at most
// maxUtilization.
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
