package graph

import (
	"cmp"
	"fmt"
	"math/big"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"github.com/cassialoom/cassialoom/importance"
)

const (
	blockService   = "service"
	blockOperation = "operation"
)

const nameRemedy = "use 1 to 63 letters, digits, - and _, beginning with a letter or a digit"

// serviceDecl is the declaration of a service.
type serviceDecl struct {
	file       string
	line       int
	name       string
	operations []operationDecl
}

// operationDecl is the declaration of an operation with its calls.
type operationDecl struct {
	line  int
	op    Operation
	calls []callDecl
}

type callDecl struct {
	line int
	ref  Ref
}

// decoder converts parsed HCL into declarations and collects problems.
type decoder struct {
	file     string
	problems Problems
}

func (d *decoder) problem(line int, remedy, cause string, args ...any) {
	d.problems.add(d.file, line, remedy, cause, args...)
}

// body decodes the top level of a text or section.
func (d *decoder) body(b *hclsyntax.Body) []serviceDecl {
	for _, a := range sortedAttributes(b) {
		d.problem(a.NameRange.Start.Line, formRemedy, "attribute %s stands outside of a service", excerpt(a.Name))
	}
	var decls []serviceDecl
	for _, block := range b.Blocks {
		if name, ok := d.blockName(block, blockService); ok {
			decls = append(decls, d.service(block, name))
		}
	}
	return decls
}

func (d *decoder) service(block *hclsyntax.Block, name string) serviceDecl {
	decl := serviceDecl{file: d.file, line: blockLine(block), name: name}
	for _, a := range sortedAttributes(block.Body) {
		d.problem(a.NameRange.Start.Line, "a service holds operations only; move it into an operation",
			"unknown attribute %s of service %s", excerpt(a.Name), name)
	}
	for _, inner := range block.Body.Blocks {
		op, ok := d.blockName(inner, blockOperation)
		if !ok {
			continue
		}
		decl.operations = append(decl.operations, d.operation(inner, Ref{Service: name, Operation: op}))
	}
	if len(block.Body.Blocks) == 0 {
		d.problem(decl.line, "declare at least one operation, or take the service out", "service %s has no operation", name)
	}
	return decl
}

// blockName validates the kind of a block and returns its only label.
func (d *decoder) blockName(block *hclsyntax.Block, kind string) (string, bool) {
	line := blockLine(block)
	if block.Type != kind {
		d.problem(line, formRemedy, "unknown block %s, want %s", excerpt(block.Type), kind)
		return "", false
	}
	if len(block.Labels) != 1 {
		d.problem(line, fmt.Sprintf(`write: %s "NAME" {`, kind), "a block %s has %d names, want 1", kind, len(block.Labels))
		return "", false
	}
	name := block.Labels[0]
	if !validName(name) {
		d.problem(line, nameRemedy, "%s is not a name for a %s", excerpt(name), kind)
		return "", false
	}
	return name, true
}

func (d *decoder) operation(block *hclsyntax.Block, ref Ref) operationDecl {
	decl := operationDecl{line: blockLine(block)}
	decl.op = Operation{
		Service:       ref.Service,
		Name:          ref.Operation,
		Importance:    importance.Normal,
		Deadline:      DefaultDeadline,
		ExtraAttempts: DefaultExtraAttempts,
	}
	for _, inner := range block.Body.Blocks {
		d.problem(blockLine(inner), formRemedy, "block %s inside of operation %s", excerpt(inner.Type), ref)
	}
	for _, a := range sortedAttributes(block.Body) {
		d.attribute(&decl, a)
	}
	return decl
}

func (d *decoder) attribute(decl *operationDecl, a *hclsyntax.Attribute) {
	switch a.Name {
	case "idempotent":
		d.idempotent(&decl.op, a)
	case "importance":
		d.importance(&decl.op, a)
	case "deadline":
		d.deadline(&decl.op, a)
	case "extra_attempts":
		d.extraAttempts(&decl.op, a)
	case "calls":
		d.calls(decl, a)
	default:
		d.problem(a.NameRange.Start.Line, "use idempotent, importance, deadline, extra_attempts or calls",
			"unknown attribute %s of operation %s", excerpt(a.Name), decl.op.Ref())
	}
}

func (d *decoder) idempotent(op *Operation, a *hclsyntax.Attribute) {
	if v, ok := d.value(a.Name, a.Expr, cty.Bool, "write true or false"); ok {
		op.Idempotent = v.True()
	}
}

func (d *decoder) importance(op *Operation, a *hclsyntax.Attribute) {
	const remedy = `write "low", "normal", "high" or "critical"`
	v, ok := d.value(a.Name, a.Expr, cty.String, remedy)
	if !ok {
		return
	}
	imp, err := importance.Parse(v.AsString())
	if err != nil {
		d.problem(exprLine(a.Expr), remedy, "unknown importance %s", excerpt(v.AsString()))
		return
	}
	op.Importance = imp
}

func (d *decoder) deadline(op *Operation, a *hclsyntax.Attribute) {
	remedy := fmt.Sprintf(`write a duration from %v to %v with its unit, such as "800ms" or "2s"`, MinDeadline, MaxDeadline)
	v, ok := d.value(a.Name, a.Expr, cty.String, remedy)
	if !ok {
		return
	}
	text := v.AsString()
	deadline, err := time.ParseDuration(text)
	if err != nil {
		d.problem(exprLine(a.Expr), remedy, "deadline %s is not a duration", excerpt(text))
		return
	}
	if deadline < MinDeadline || deadline > MaxDeadline {
		d.problem(exprLine(a.Expr), remedy, "deadline %s is out of range", excerpt(text))
		return
	}
	op.Deadline = deadline
}

func (d *decoder) extraAttempts(op *Operation, a *hclsyntax.Attribute) {
	remedy := fmt.Sprintf("write a whole number from 0 to %d", MaxExtraAttempts)
	v, ok := d.value(a.Name, a.Expr, cty.Number, remedy)
	if !ok {
		return
	}
	n, accuracy := v.AsBigFloat().Int64()
	if accuracy != big.Exact || n < 0 || n > MaxExtraAttempts {
		d.problem(exprLine(a.Expr), remedy, "extra_attempts is out of range")
		return
	}
	op.ExtraAttempts = int(n)
}

func (d *decoder) calls(decl *operationDecl, a *hclsyntax.Attribute) {
	const remedy = `write a list of strings, such as ["stationlog.history"]`
	elems, diags := hcl.ExprList(a.Expr)
	if diags.HasErrors() {
		d.problem(exprLine(a.Expr), remedy, "calls is not a list")
		return
	}
	if len(elems) > MaxCalls {
		d.problem(exprLine(a.Expr), fmt.Sprintf("declare at most %d", MaxCalls),
			"operation %s declares %d calls", decl.op.Ref(), len(elems))
		return
	}
	for _, e := range elems {
		if v, ok := d.value("calls", e, cty.String, remedy); ok {
			d.call(decl, exprLine(e), v.AsString())
		}
	}
}

func (d *decoder) call(decl *operationDecl, line int, text string) {
	service, op, found := strings.Cut(text, ".")
	if !found || !validName(service) || !validName(op) {
		d.problem(line, "write SERVICE.OPERATION", "%s does not name an operation", excerpt(text))
		return
	}
	ref := Ref{Service: service, Operation: op}
	if slices.ContainsFunc(decl.calls, func(c callDecl) bool { return c.ref == ref }) {
		d.problem(line, "declare each call once; it may be made many times", "duplicate call %s of operation %s", ref, decl.op.Ref())
		return
	}
	decl.calls = append(decl.calls, callDecl{line: line, ref: ref})
}

// value evaluates a literal of the given type. It converts no types, so that a
// string is not accepted as a number.
func (d *decoder) value(name string, e hcl.Expression, want cty.Type, remedy string) (cty.Value, bool) {
	v, diags := e.Value(nil)
	if diags.HasErrors() {
		d.problem(exprLine(e), remedy, "the value of %s is not a plain value", name)
		return cty.NilVal, false
	}
	if v.IsNull() || !v.IsKnown() || v.Type() != want {
		d.problem(exprLine(e), remedy, "the value of %s is not a %s", name, want.FriendlyName())
		return cty.NilVal, false
	}
	return v, true
}

// sortedAttributes returns the attributes of a body in the order of the text.
func sortedAttributes(b *hclsyntax.Body) []*hclsyntax.Attribute {
	attrs := make([]*hclsyntax.Attribute, 0, len(b.Attributes))
	for _, a := range b.Attributes {
		attrs = append(attrs, a)
	}
	slices.SortFunc(attrs, func(a, b *hclsyntax.Attribute) int {
		return cmp.Compare(a.NameRange.Start.Byte, b.NameRange.Start.Byte)
	})
	return attrs
}

func blockLine(b *hclsyntax.Block) int { return b.TypeRange.Start.Line }

func exprLine(e hcl.Expression) int { return e.Range().Start.Line }

// validName reports whether s is a valid name of a service or an operation. Such
// names need no escaping in SERVICE.OPERATION and in a URL.
func validName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	for i := range len(s) {
		c := s[i]
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case (c == '-' || c == '_') && i > 0:
		default:
			return false
		}
	}
	return true
}
