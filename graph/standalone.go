package graph

// Standalone returns an operation that stands in no graph text, such as one
// made for a published route: it declares no calls and reaches its own service
// alone.
func Standalone(o Operation) *Operation {
	o.DependsOn = nil
	o.reach = []string{o.Service}
	o.height = 0
	return &o
}
