package rules

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// fractionUnits is how many units make 100 %. Percentages have up to three
	// decimals, so a unit is 0.001 % and sums of weights are exact integers.
	fractionUnits = 100_000
	// maxSlots is the largest capacity of one service in one region.
	maxSlots = 1_000_000
	// maxNameBytes is the largest length of a name, the same as for DNS labels
	// (RFC 1035).
	maxNameBytes = 63
	// maxLinkBits is the largest link rate in bits per second.
	maxLinkBits = 100_000_000_000_000
	// minShiftPeriod and maxShiftPeriod limit the period of a shift cap. The
	// sliding window counts of package shift need at least a second.
	minShiftPeriod = time.Second
	maxShiftPeriod = 24 * time.Hour
)

// Descriptions of the allowed values for error messages.
const (
	allowedName     = "lower-case letters, digits and hyphens, starting with a letter, at most 63 characters"
	allowedTarget   = "letters, digits, '-', '_' and '.', starting with a letter or digit, at most 63 characters"
	allowedPercent  = "0% to 100% with up to three decimals, as in 12.5%"
	allowedSlots    = "a whole number from 0 to 1000000"
	allowedRate     = "a number of at least 0.008Kbit/s with Kbit/s, Mbit/s or Gbit/s, as in 4Gbit/s"
	allowedPeriod   = "1s to 24h, as in 30s or 1m"
	allowedMethod   = "an HTTP method in upper case, as in POST"
	allowedPath     = "a path that starts with / and has no empty, . or .. segment, no query and no / at its end, as in /search"
	allowedPrefix   = "an address block without host bits, as in 10.1.0.0/16 or 2001:db8::/32"
	allowedPriority = "1, 2 or 3"
)

func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[0] < 'a' || s[0] > 'z' {
		return false
	}
	for i := 0; i < len(s); i++ {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-') {
			return false
		}
	}
	return true
}

// ValidTarget reports whether s may name an endpoint or instance.
func ValidTarget(s string) bool {
	if s == "" || len(s) > maxNameBytes || !isAlphanumeric(s[0]) {
		return false
	}
	for i := 0; i < len(s); i++ {
		if !isAlphanumeric(s[i]) && !strings.ContainsRune("-_.", rune(s[i])) {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// parseDecimal parses digits with an optional fraction and returns the number in
// units of 10^-places. Signs, exponents and more than the given decimal places are
// errors.
func parseDecimal(s string, places int) (int64, error) {
	whole, frac, dotted := strings.Cut(s, ".")
	if !isDigits(whole) || dotted && !isDigits(frac) {
		return 0, errors.NotValidf("number")
	}
	if len(frac) > places {
		return 0, errors.NotValidf("number of decimal places")
	}
	frac += strings.Repeat("0", places-len(frac))
	n, err := strconv.ParseInt(whole+frac, 10, 64)
	if err != nil {
		return 0, errors.NotValidf("number")
	}
	return n, nil
}

func isDigits(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return s != ""
}

// parsePercent returns a percentage in units of 1/fractionUnits. problem is empty
// if the percentage is valid.
func parsePercent(s string) (units int64, problem string) {
	number, found := strings.CutSuffix(s, "%")
	if !found {
		return 0, "the unit % is missing"
	}
	if strings.HasPrefix(number, "-") {
		return 0, "negative percentage"
	}
	units, err := parseDecimal(number, 3)
	switch {
	case err != nil:
		return 0, "not a percentage"
	case units > fractionUnits:
		return 0, "above 100 %"
	}
	return units, ""
}

func parseSlots(s string) (n int, problem string) {
	v, err := parseDecimal(s, 0)
	switch {
	case strings.HasPrefix(s, "-"):
		return 0, "negative capacity"
	case err != nil:
		return 0, "not a whole number"
	case v > maxSlots:
		return 0, "capacity too large"
	}
	return int(v), ""
}

// linkUnits maps units to bits per second.
var linkUnits = map[string]int64{"Kbit/s": 1_000, "Mbit/s": 1_000_000, "Gbit/s": 1_000_000_000}

// parseLinkRate returns a rate in bytes per second.
func parseLinkRate(s string) (bytes int64, problem string) {
	if strings.HasPrefix(s, "-") {
		return 0, "negative rate"
	}
	end := strings.IndexFunc(s, func(r rune) bool { return r != '.' && (r < '0' || r > '9') })
	if end < 0 {
		return 0, "the unit is missing"
	}
	unit, known := linkUnits[s[end:]]
	if !known {
		return 0, "unknown unit " + strconv.Quote(truncate(s[end:]))
	}
	milli, err := parseDecimal(s[:end], 3)
	switch {
	case err != nil:
		return 0, "not a rate"
	case milli > maxLinkBits/unit*1000:
		return 0, "above 100000Gbit/s"
	}
	bytes = milli * (unit / 1000) / 8
	if bytes == 0 {
		return 0, "under one byte a second"
	}
	return bytes, ""
}

func parseShiftPeriod(s string) (d time.Duration, problem string) {
	d, err := time.ParseDuration(s)
	switch {
	case err != nil:
		return 0, "not a duration"
	case d < minShiftPeriod || d > maxShiftPeriod:
		return 0, "duration out of bounds"
	}
	return d, ""
}

func validMethod(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] < 'A' || s[i] > 'Z' {
			return false
		}
	}
	return s != "" && len(s) <= maxNameBytes
}

func validPath(s string) bool {
	if s == "/" {
		return true
	}
	if !strings.HasPrefix(s, "/") || strings.ContainsAny(s, "?%;\\") {
		return false
	}
	for segment := range strings.SplitSeq(s[1:], "/") {
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

func parseCallerPrefix(s string) (p netip.Prefix, problem string) {
	p, err := netip.ParsePrefix(s)
	switch {
	case err != nil:
		return p, "not an address block"
	case p.Addr().Is4In6():
		return p, "IPv4 block in IPv6 form"
	case p != p.Masked():
		return p, "host bits are set; the block is " + p.Masked().String()
	}
	return p, ""
}
