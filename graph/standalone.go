package graph

// Standalone returns a copy of o that belongs to no graph, for example for a
// published route. It declares no calls and reaches only its own service.
func Standalone(o Operation) *Operation {
	o.Calls = nil
	o.reach = []string{o.Service}
	o.height = 0
	return &o
}
