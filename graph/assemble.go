package graph

import "fmt"

// Section is the text of one service. Sections are published one by one.
type Section struct {
	Service string
	Text    string
}

const emptyRemedy = `declare at least one: service "NAME" { operation "NAME" {} }`

// Parse builds the graph of a text with all services. It returns either a graph
// or problems.
func Parse(filename string, src []byte) (*Graph, Problems) {
	files := []string{filename}
	s, ps := readSource(filename, src, MaxTextBytes)
	if len(ps) > 0 {
		return nil, ps.sortAndCut(files)
	}
	d := decoder{file: filename}
	decls := d.body(s.body)
	if len(d.problems) > 0 {
		return nil, d.problems.sortAndCut(files)
	}
	if len(decls) == 0 {
		ps.add(filename, 1, emptyRemedy, "no service is declared")
		return nil, ps
	}
	g, ps := build(decls)
	if len(ps) > 0 {
		return nil, ps.sortAndCut(files)
	}
	g.warnings = g.warnings.sortAndCut(files)
	return g, nil
}

// Assemble builds the graph of all sections. It returns either a graph or
// problems, which have the section as file and count lines from its start.
func Assemble(sections []Section) (*Graph, Problems) {
	return new(Assembler).Assemble(sections)
}

// Assembler builds graphs repeatedly while few sections change: it decodes only
// sections that differ from those of the last valid call. The zero value is ready
// to use. It is not safe for concurrent use.
type Assembler struct {
	cache map[Section]serviceDecl
}

// Assemble is like the function Assemble.
func (a *Assembler) Assemble(sections []Section) (*Graph, Problems) {
	var ps Problems
	if len(sections) == 0 {
		ps.add("sections", 1, emptyRemedy, "no service is declared")
		return nil, ps
	}
	if total := totalBytes(sections); total > MaxTextBytes {
		ps.add("sections", 1, fmt.Sprintf("keep them below %d bytes", MaxTextBytes),
			"all sections together have %d bytes, the limit is %d", total, MaxTextBytes)
		return nil, ps
	}
	decls, files, ps := a.decodeSections(sections)
	if len(ps) > 0 {
		return nil, ps.sortAndCut(files)
	}
	g, ps := build(decls)
	if len(ps) > 0 {
		return nil, ps.sortAndCut(files)
	}
	g.warnings = g.warnings.sortAndCut(files)
	return g, nil
}

// decodeSections decodes the sections and caches the result if all are valid. Sections
// that are not passed again leave the cache.
func (a *Assembler) decodeSections(sections []Section) ([]serviceDecl, []string, Problems) {
	var ps Problems
	decls := make([]serviceDecl, 0, len(sections))
	files := make([]string, 0, len(sections))
	cache := make(map[Section]serviceDecl, len(sections))
	for _, s := range sections {
		files = append(files, SectionFile(s.Service))
		decl, ok := a.cache[s]
		if !ok {
			var problems Problems
			if decl, problems = decodeSection(s); len(problems) > 0 {
				ps = append(ps, problems...)
				continue
			}
		}
		cache[s] = decl
		decls = append(decls, decl)
	}
	if len(ps) == 0 {
		a.cache = cache
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
			"the section of %s declares %s", excerpt(s.Service), describeDecls(decls))
		return serviceDecl{}, d.problems
	}
	return decls[0], nil
}

// describeDecls describes the declared services for a problem message.
func describeDecls(decls []serviceDecl) string {
	switch len(decls) {
	case 0:
		return "no service"
	case 1:
		return "service " + decls[0].name
	default:
		return fmt.Sprintf("%d services", len(decls))
	}
}

// SectionFile returns the Problem.File for problems in the section of a service.
func SectionFile(service string) string { return "section " + service }

func totalBytes(sections []Section) int {
	n := 0
	for _, s := range sections {
		n += len(s.Text)
	}
	return n
}
