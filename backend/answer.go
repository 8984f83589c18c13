package backend

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cassialoom/cassialoom/entry/headers"
)

// maxRetryAfter bounds the Retry-After of a backend server.
const maxRetryAfter = time.Hour

func retryAfter(h http.Header) time.Duration {
	if d := parseUnits(h.Get(headers.RetryAfterMs), time.Millisecond); d > 0 {
		return d
	}
	return parseUnits(h.Get(headers.RetryAfter), time.Second)
}

func parseUnits(s string, unit time.Duration) time.Duration {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	if n > int64(maxRetryAfter/unit) {
		return maxRetryAfter
	}
	return time.Duration(n) * unit
}

// closeDelimited reports whether the body has no length and no chunks, so that
// only the end of the connection ends it.
func closeDelimited(resp *http.Response) bool {
	chunked := len(resp.TransferEncoding) > 0
	return resp.StatusCode == http.StatusSwitchingProtocols || resp.ContentLength < 0 && !chunked
}
