package backend

import (
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// joined reports whether the head consists of the truncated head of one answer and that of the
// next. Such a head would give one answer the status or the refusal of the other.
func joined(resp *http.Response) bool {
	if holdsStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, holdsStatusLine) {
			return true
		}
	}
	return false
}

const protocolPrefix = "HTTP/1."

var statusLine = regexp.MustCompile(`HTTP/1\.[01] \d{3}`)

func holdsStatusLine(s string) bool {
	return strings.Contains(s, protocolPrefix) && statusLine.MatchString(s)
}
