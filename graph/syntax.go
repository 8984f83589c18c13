package graph

import (
	"fmt"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

const (
	formRemedy  = `write service "NAME" { and in it operation "NAME" { on lines of their own, one attribute a line, and close each with }`
	valueRemedy = `write plain values only: true, false, a number, "a string" or a list of strings`
)

// source is a file or section with valid syntax.
type source struct {
	file string
	text []byte
	body *hclsyntax.Body
}

// readSource validates the size, the bytes and the syntax of a text, in this
// order. limit is the maximum size in bytes.
func readSource(file string, text []byte, limit int) (source, Problems) {
	var ps Problems
	if len(text) > limit {
		ps.add(file, 1, "shorten it; is it the right file?", "the text is longer than %d bytes", limit)
		return source{}, ps
	}
	if ps = checkBytes(file, text); len(ps) > 0 {
		return source{}, ps
	}
	body, ps := parseBody(file, text)
	if len(ps) > 0 {
		return source{}, ps
	}
	return source{file: file, text: text, body: body}, nil
}

// parseBody runs the HCL parser. A panic in the parser would crash every node
// that reads the publication, again after each restart, so it is recovered and
// rejects the text. All nodes reject it alike: the result depends only on the
// text.
func parseBody(file string, text []byte) (body *hclsyntax.Body, ps Problems) {
	defer func() {
		if r := recover(); r != nil {
			body, ps = nil, nil
			ps.add(file, 1, formRemedy, "the text cannot be parsed: %v", r)
		}
	}()
	f, diags := hclsyntax.ParseConfig(text, file, hcl.InitialPos)
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			ps.add(file, diagLine(d), formRemedy, "%s: %s", d.Summary, d.Detail)
		}
	}
	if len(ps) > 0 {
		return nil, ps
	}
	return f.Body.(*hclsyntax.Body), nil
}

// diagLine returns the line of a diagnostic, 1 if it has none.
func diagLine(d *hcl.Diagnostic) int {
	if d.Subject == nil || d.Subject.Start.Line < 1 {
		return 1
	}
	return d.Subject.Start.Line
}

// excerpt quotes the beginning of s for a problem message.
func excerpt[T string | []byte](s T) string {
	const maxBytes = 40
	if len(s) <= maxBytes {
		return fmt.Sprintf("%q", s)
	}
	return fmt.Sprintf("%q...", s[:maxBytes])
}
