package graph

import "fmt"

// Section is the text of one service, the unit of publication.
type Section struct {
	Service string
	Text    string
}

const emptyRemedy = `declare at least one: service "NAME" { operation "NAME" {} }`

// Parse reads a whole text.
func Parse(filename string, src []byte) (*Graph, Problems) {
	files := []string{filename}
	s, ps := readSource(filename, src, MaxTextBytes)
	if len(ps) > 0 {
		return nil, ps.report(files)
	}
	d := decoder{file: filename}
	decls := d.body(s.body)
	if len(d.problems) > 0 {
		return nil, d.problems.report(files)
	}
	if len(decls) == 0 {
		ps.add(filename, 1, emptyRemedy, "no service is declared")
		return nil, ps
	}
	g, ps := build(decls)
	if len(ps) > 0 {
		return nil, ps.report(files)
	}
	g.warnings = g.warnings.report(files)
	return g, nil
}

// Assemble builds the graph of all sections. Problems name the section as file
// and count lines from its beginning.
func Assemble(sections []Section) (*Graph, Problems) {
	return new(Assembler).Assemble(sections)
}

// Assembler assembles again and again while a few sections change, as a reader
// of publications does: it decodes only sections that it has not just seen.
// The zero value is ready. It is not safe for concurrent use.
type Assembler struct {
	decoded map[Section]serviceDecl
}

// Assemble does the same as the function Assemble.
func (a *Assembler) Assemble(sections []Section) (*Graph, Problems) {
	var ps Problems
	if len(sections) == 0 {
		ps.add("sections", 1, emptyRemedy, "no service is declared")
		return nil, ps
	}
	if total := textBytes(sections); total > MaxTextBytes {
		ps.add("sections", 1, fmt.Sprintf("keep them below %d bytes", MaxTextBytes),
			"all sections together have %d bytes, the limit is %d", total, MaxTextBytes)
		return nil, ps
	}
	decls, files, ps := a.decode(sections)
	if len(ps) > 0 {
		return nil, ps.report(files)
	}
	g, ps := build(decls)
	if len(ps) > 0 {
		return nil, ps.report(files)
	}
	g.warnings = g.warnings.report(files)
	return g, nil
}

// decode keeps what it decoded for the next time, and no more than that.
func (a *Assembler) decode(sections []Section) ([]serviceDecl, []string, Problems) {
	var ps Problems
	decls := make([]serviceDecl, 0, len(sections))
	files := make([]string, 0, len(sections))
	decoded := make(map[Section]serviceDecl, len(sections))
	for _, s := range sections {
		files = append(files, SectionFile(s.Service))
		decl, ok := a.decoded[s]
		if !ok {
			var problems Problems
			if decl, problems = decodeSection(s); len(problems) > 0 {
				ps = append(ps, problems...)
				continue
			}
		}
		decoded[s] = decl
		decls = append(decls, decl)
	}
	if len(ps) == 0 {
		a.decoded = decoded
	}
	return decls, files, ps
}

func decodeSection(s Section) (serviceDecl, Problems) {
	file := SectionFile(s.Service)
	src, ps := readSource(file, []byte(s.Text), MaxSectionBytes)
	if len(ps) > 0 {
		return serviceDecl{}, ps
	}
	d := decoder{file: file}
	decls := d.body(src.body)
	if len(d.problems) > 0 {
		return serviceDecl{}, d.problems
	}
	if len(decls) != 1 || decls[0].name != s.Service {
		d.problem(1, fmt.Sprintf("a section holds exactly one block: service %q { ... }", s.Service),
			"the section of %s declares %s", excerpt(s.Service), declared(decls))
		return serviceDecl{}, d.problems
	}
	return decls[0], nil
}

func declared(decls []serviceDecl) string {
	switch len(decls) {
	case 0:
		return "no service"
	case 1:
		return "service " + decls[0].name
	default:
		return fmt.Sprintf("%d services", len(decls))
	}
}

// SectionFile is the File of a problem that lies in the section of a service.
func SectionFile(service string) string { return "section " + service }

func textBytes(sections []Section) int {
	n := 0
	for _, s := range sections {
		n += len(s.Text)
	}
	return n
}
