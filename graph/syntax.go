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

// source is one file or section after its syntax was checked.
type source struct {
	file string
	text []byte
	body *hclsyntax.Body
}

// readSource checks size, bytes and syntax, in this order.
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

// parseBody runs the parser. A panic in it would end every node that reads the
// publication, one after the other and again after each restart; the recover
// makes it a refusal, which is the same at every node because the parser
// depends on nothing but the text.
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

func diagLine(d *hcl.Diagnostic) int {
	if d.Subject == nil || d.Subject.Start.Line < 1 {
		return 1
	}
	return d.Subject.Start.Line
}

// excerpt quotes the beginning of what the operator wrote.
func excerpt[T string | []byte](s T) string {
	const most = 40
	if len(s) <= most {
		return fmt.Sprintf("%q", s)
	}
	return fmt.Sprintf("%q...", s[:most])
}
