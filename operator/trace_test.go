package operator

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a trace that lacks lines of the request or its calls, or includes other
// lines.
func TestTraceMergesLogs(t *testing.T) {
	is := is.New(t)
	entry := `{"time":"2026-01-02T03:04:05.9Z","machine":"m1","message":"request","request":"r1","step":"refused","reason":"lost","verdict":"may have run","took_ms":12.5}
{"time":"2026-01-02T03:04:05.1Z","machine":"m1","message":"request","request":"r10","step":"answered"}
not JSON r1
`
	callee := `  5.2 m2 {"time":"2026-01-02T03:04:05.5Z","machine":"m2","message":"request","request":"r1.c7","root":"r1","step":"declined","reason":"shed"}
{"time":"2026-01-02T03:04:05.4Z","machine":"m2","message":"request","request":"r1","step":"lost","target":"i-1"
{"time":"2026-01-02T03:04:05.8Z","machine":"m2","message":"request","request":"r1.c8","root":"r1","step":"answered","verdict":"ran","status":504,"target":"i-2"}
`
	var out bytes.Buffer
	o := FromSettings(Settings{}, &out)
	is.NoErr(o.Trace("r1", []io.Reader{strings.NewReader(entry), strings.NewReader(callee)}))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 4)
	is.True(strings.Contains(lines[1], "m2") && strings.Contains(lines[1], "shed"))
	is.True(strings.Contains(lines[2], "504") && strings.Contains(lines[2], "i-2"))
	is.True(strings.Contains(lines[3], "12.5ms"))
	is.Equal(ExitCode(o.Trace("nobody", nil)), ExitRefused)
}
