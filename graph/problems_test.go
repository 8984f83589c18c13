package graph

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/importance"
)

// textWithAttributes returns a text with the given attributes of operation a.x, from line 3 on.
func textWithAttributes(attributes string) string {
	return "service \"a\" {\n operation \"x\" {\n" + attributes + "\n }\n operation \"leaf\" {}\n}\n"
}

func TestProblemsHaveLineCauseAndRemedy(t *testing.T) {
	long := strings.Repeat("n", MaxNameBytes+1)
	for name, c := range map[string]struct {
		text   string
		line   int
		cause  string
		remedy string
	}{
		"cycle":               {textWithAttributes(`calls = ["b.y"]`) + "service \"b\" {\n operation \"y\" {\n  calls = [\n\"a.x\"]\n }\n}", 10, "cycle: a.x -> b.y -> a.x", "take one"},
		"call of itself":      {textWithAttributes(`calls = ["a.x"]`), 3, "cycle: a.x -> a.x", "take one"},
		"unknown service":     {textWithAttributes("calls = [\n\"b.y\",\n]"), 4, "unknown service b", "declared one: a"},
		"unknown operation":   {textWithAttributes(`calls = ["a.y"]`), 3, "unknown operation a.y", "leaf, x"},
		"duplicate service":   {textWithAttributes("") + `service "a" { }`, 7, "no operation", "take the service out"},
		"duplicate service 2": {textWithAttributes("") + "service \"a\" {\n operation \"z\" {}\n}", 7, "duplicate service a", "rename"},
		"duplicate operation": {"service \"a\" {\n operation \"x\" {}\n operation \"x\" {}\n}", 3, "duplicate operation a.x", "rename"},
		"duplicate call":      {textWithAttributes("calls = [\"a.leaf\",\n\"a.leaf\"]"), 4, "duplicate call a.leaf", "once"},
		"duplicate attribute": {textWithAttributes("idempotent = true\nidempotent = true"), 4, "", ""},
		"repeats a write":     {textWithAttributes("idempotent = true\ncalls = [\"a.leaf\"]"), 4, "a.x is idempotent but depends on a.leaf", "idempotent = false"},
		"duration word":       {textWithAttributes(`deadline = "soon"`), 3, `"soon" is not a duration`, "800ms"},
		"duration no unit":    {textWithAttributes(`deadline = "800"`), 3, "not a duration", "800ms"},
		"duration number":     {textWithAttributes(`deadline = 800`), 3, "deadline is not a string", "800ms"},
		"duration zero":       {textWithAttributes(`deadline = "0s"`), 3, "out of range", "800ms"},
		"duration negative":   {textWithAttributes(`deadline = "-1s"`), 3, "out of range", "800ms"},
		"duration huge":       {textWithAttributes(`deadline = "61m"`), 3, "out of range", "1h"},
		"duration overflow":   {textWithAttributes(`deadline = "99999999999h"`), 3, "not a duration", "1h"},
		"attempts above":      {textWithAttributes(`extra_attempts = 11`), 3, "out of range", "0 to 10"},
		"attempts part":       {textWithAttributes(`extra_attempts = 1.5`), 3, "out of range", "0 to 10"},
		"attempts infinite":   {textWithAttributes(`extra_attempts = 1e999999999`), 3, "", ""},
		"attempts long":       {textWithAttributes("extra_attempts = " + strings.Repeat("1", 65)), 3, "number of 65", "plain"},
		"importance":          {textWithAttributes(`importance = "vital"`), 3, "unknown importance", "critical"},
		"bool as string":      {textWithAttributes(`idempotent = "true"`), 3, "not a bool", "true or false"},
		"null":                {textWithAttributes(`idempotent = null`), 3, "not a bool", "true or false"},
		"variable":            {textWithAttributes(`idempotent = yes`), 3, "not a plain value", "true or false"},
		"calls no list":       {textWithAttributes(`calls = "a.leaf"`), 3, "not a list", "list of strings"},
		"call no operation":   {textWithAttributes(`calls = ["a"]`), 3, "does not name an operation", "SERVICE.OPERATION"},
		"unknown attribute":   {textWithAttributes(`dead_line = "1s"`), 3, `unknown attribute "dead_line"`, "deadline"},
		"service attribute":   {"service \"a\" {\n x = 1\n operation \"x\" {}\n}", 2, "unknown attribute", "operation"},
		"top attribute":       {"\nx = 1", 2, "outside of a service", "service"},
		"unknown block":       {"\nbackend \"a\" {\n}", 2, `unknown block "backend"`, "service"},
		"inner block":         {textWithAttributes("retry {\n}"), 3, "inside of operation", "one attribute a line"},
		"no name":             {"service {\n}", 1, "0 names", "NAME"},
		"bad name":            {"service \"a.b\" {\n}", 1, "not a name", "letters"},
		"long name":           {"service \"" + long + "\" {\n}", 1, "not a name", "63"},
		"expression":          {textWithAttributes(`extra_attempts = 1 + 1`), 3, `"+" is not part`, "plain values"},
		"template":            {textWithAttributes(`importance = "${x}"`), 3, "not allowed in a string", "plain values"},
		"open string":         {textWithAttributes("importance = \"high\n"), 3, "does not end on its line", "close"},
		"open comment":        {textWithAttributes("/* idempotent = true\n"), 3, "comment does not end", "*/"},
		"comparison":          {textWithAttributes(`idempotent = 1 == 1`), 3, `"=" is not part`, "plain values"},
		"not UTF-8":           {"# caf\xe9", 1, "UTF-8", "save"},
		"open block":          {"service \"a\" {\n", 1, "", "close each"},
		"empty":               {"", 1, "no service", "declare"},
		"comment only":        {"# nothing\n\n", 1, "no service", "declare"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, ps := Parse("f.hcl", []byte(c.text))
			is.True(g == nil)
			is.True(len(ps) > 0)
			is.Equal(ps[0].File, "f.hcl")
			is.Equal(ps[0].Line, c.line)
			is.True(strings.Contains(ps[0].Cause, c.cause))
			is.True(strings.Contains(ps[0].Remedy, c.remedy))
			is.True(ps[0].Cause != "" && ps[0].Remedy != "")
			is.True(ps.Err() != nil)
		})
	}
}

// Guards against a wrong or malicious file that overflows the stack or uses seconds
// of CPU time: every node reads it, so it would stop all of them.
func TestInvalidFilesAreRejectedCheaply(t *testing.T) {
	const size = 700 << 10
	for name, text := range map[string]string{
		"above the limit": strings.Repeat("\x00\xff{", 1<<20/3),
		"binary":          strings.Repeat("\x00\xff{\"", size/4),
		"parentheses":     "x = " + strings.Repeat("(", size),
		"brackets":        "x = " + strings.Repeat("[", size),
		"negations":       "x = " + strings.Repeat("!", size) + "true",
		"templates":       "x = " + strings.Repeat(`"${`, size/3),
		"conditions":      "x = " + strings.Repeat("a ? ", size/4),
		"heredoc":         "x = <<E\n" + strings.Repeat("${", size/2),
		"one number":      "x = " + strings.Repeat("9", size),
		"attributes":      "service \"a\" {\n" + strings.Repeat("x y\n", size/4) + "}",
		"services":        strings.Repeat("service \"a\" {}\n", size/15),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, ps := Parse("f.hcl", []byte(text))
			is.True(g == nil)
			is.True(len(ps) > 0 && len(ps) <= MaxProblems)
		})
	}
}

func TestProblemListIsBounded(t *testing.T) {
	is := is.New(t)
	_, ps := Parse("f.hcl", []byte(textWithAttributes(strings.Repeat("nope = 1\n", 1)+"calls = ["+strings.Repeat("\"a\",\n", 50)+"]")))
	is.Equal(len(ps), MaxProblems)
	is.True(strings.Contains(ps[MaxProblems-1].Cause, "32 more problems"))
}

func TestCallDepthIsBounded(t *testing.T) {
	is := is.New(t)
	g, ps := Parse("f.hcl", chain(MaxDepth))
	is.NoErr(ps.Err())
	top, _ := g.Operation("s00", "x")
	is.Equal(top.CallDepth(), MaxDepth)

	_, ps = Parse("f.hcl", chain(MaxDepth+3))
	is.Equal(len(ps), 1) // only the lowest operation above the limit
	is.Equal(ps[0].Line, 2*3+2)
	is.True(strings.Contains(ps[0].Cause, "s02.x is 33 long"))
}

func TestAttributesAndDefaults(t *testing.T) {
	is := is.New(t)
	g, ps := Parse("f.hcl", []byte(textWithAttributes(`
		idempotent = false
		importance = "critical"
		deadline = "800ms"
		extra_attempts = 0
		calls = ["a.leaf"]`)))
	is.NoErr(ps.Err())
	x, ok := g.Operation("a", "x")
	is.True(ok)
	is.Equal(x.Importance, importance.Critical)
	is.Equal(x.Deadline, 800*time.Millisecond)
	is.Equal(x.ExtraAttempts, 0)
	is.Equal(x.Calls, []Ref{{"a", "leaf"}})
	is.True(x.DeclaresCall("a", "leaf") && !x.DeclaresCall("a", "x"))
	is.Equal(len(g.Warnings()), 1) // a.x calls its own service
	leaf, _ := g.Operation("a", "leaf")
	is.True(!leaf.Idempotent) // the safe default
	is.Equal(leaf.Importance, importance.Normal)
	is.Equal(leaf.Deadline, DefaultDeadline)
	is.Equal(leaf.ExtraAttempts, DefaultExtraAttempts)
}
