package routes

// Splitter distributes the requests of each route to its services by weight,
// with smooth weighted round robin. At any time the number of requests of a
// service differs from its exact share by at most one; random choice would
// differ by the square root of the number of requests.
//
// It is not safe for concurrent use.
type Splitter struct {
	version uint64
	// deficits holds, by route, the current weights of the shares: by how much
	// each service is behind its share of the requests.
	deficits map[string][]float64
}

// NewSplitter returns a Splitter for any table.
func NewSplitter() *Splitter { return &Splitter{} }

// Next returns the share that gets the next request of the route. A new
// version of the table resets the state, so that it does not distort the new
// weights.
func (s *Splitter) Next(t *Table, r *Route) *Share {
	if len(r.Shares) == 1 {
		return &r.Shares[0]
	}
	if s.deficits == nil || s.version != t.Version {
		s.version, s.deficits = t.Version, make(map[string][]float64)
	}
	deficits := s.deficits[r.Name]
	if deficits == nil {
		deficits = make([]float64, len(r.Shares))
		s.deficits[r.Name] = deficits
	}
	return &r.Shares[nextShare(deficits, r.Shares)]
}

// nextShare returns the index of the share that is furthest behind, and updates the
// current weights.
func nextShare(deficits []float64, shares []Share) int {
	total, best := 0.0, 0
	for i, share := range shares {
		deficits[i] += share.Weight
		total += share.Weight
		if deficits[i] > deficits[best] {
			best = i
		}
	}
	deficits[best] -= total
	return best
}
