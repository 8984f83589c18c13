package backend

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// LimitStatement is what an answer says about the rate limit of its backend server.
type LimitStatement uint8

const (
	// NoLimit: the answer names no limit.
	NoLimit LimitStatement = iota
	// Limited: the answer names a limit.
	Limited
	// UnreadableLimit: the answer names a limit that is not a number. What was known
	// before remains valid.
	UnreadableLimit
)

// Notice is what a backend server says about itself in an answer, whatever the request.
type Notice struct {
	Limit LimitStatement
	// PerSecond is the number of requests a second that the backend server takes from
	// all nodes together; it is valid if Limit is Limited.
	PerSecond float64
	// Leaving says that the backend server is leaving.
	Leaving bool
	// Load is its load.
	Load Load
}

const (
	// maxLimitLength is the longest number that is parsed, in bytes.
	maxLimitLength = 32
	// MaxRateLimit is the largest rate limit, in requests a second. Larger numbers are
	// taken for it.
	MaxRateLimit = 1e9
)

var (
	errLimit   = errors.New("rate limit: want a decimal number of requests a second")
	errLeaving = errors.New("leaving: want 0 or 1")
)

// ParseNotice parses the values of the fields that hold the rate limit, the leaving and
// the load. The lowest limit counts if there are several, and one that says leaving counts
// whatever the others say. The error names the malformed values; the notice holds what the
// others say.
func ParseNotice(limits, leaving []string, load string) (Notice, error) {
	var n Notice
	var errs []error
	var err error
	if n.Load, err = ParseLoad(load); err != nil {
		errs = append(errs, err)
	}
	unreadable := false
	for _, text := range splitList(limits) {
		perSecond, err := parseLimit(text)
		switch {
		case err != nil:
			unreadable = true
			errs = append(errs, err)
		case n.Limit != Limited || perSecond < n.PerSecond:
			n.Limit, n.PerSecond = Limited, perSecond
		}
	}
	if unreadable && n.Limit != Limited {
		n.Limit = UnreadableLimit
	}
	for _, text := range splitList(leaving) {
		switch text {
		case "1":
			n.Leaving = true
		case "0":
		default:
			errs = append(errs, fmt.Errorf("%w, not %.*q", errLeaving, maxLimitLength, text))
		}
	}
	return n, errors.Join(errs...)
}

// splitList splits the values of a field at commas, by which proxies join repeated fields.
func splitList(values []string) []string {
	var out []string
	for _, v := range values {
		for part := range strings.SplitSeq(v, ",") {
			out = append(out, strings.Trim(part, " \t"))
		}
	}
	return out
}

// parseLimit parses digits with at most one decimal point. strconv.ParseFloat alone also
// accepts signs, exponents, hexadecimal numbers, infinities and NaN.
func parseLimit(text string) (float64, error) {
	digits := strings.Replace(text, ".", "", 1)
	plain := strings.Trim(digits, "0123456789") == ""
	if digits == "" || !plain || len(text) > maxLimitLength {
		return 0, fmt.Errorf("%w, not %.*q", errLimit, maxLimitLength, text)
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, fmt.Errorf("%w, not %.*q", errLimit, maxLimitLength, text)
	}
	return min(perSecond, MaxRateLimit), nil
}
