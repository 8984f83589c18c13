package routes

// Splitter deals the requests of each route to its services by weight. It
// keeps, for each service, by how much it is behind its share (smooth weighted
// round robin): over any run of requests each service is within one request of
// its share, where random draws would be off by the square root of the run.
//
// It is not safe for concurrent use.
type Splitter struct {
	version uint64
	behind  map[string][]float64
}

// NewSplitter returns a Splitter without history.
func NewSplitter() *Splitter { return &Splitter{} }

// Next returns the share whose turn it is. A new version of the table begins
// anew, so that old debts do not distort its weights.
func (s *Splitter) Next(t *Table, r *Route) *Share {
	if len(r.Shares) == 1 {
		return &r.Shares[0]
	}
	if s.behind == nil || s.version != t.Version {
		s.version, s.behind = t.Version, make(map[string][]float64)
	}
	behind := s.behind[r.Name]
	if behind == nil {
		behind = make([]float64, len(r.Shares))
		s.behind[r.Name] = behind
	}
	return &r.Shares[turn(behind, r.Shares)]
}

func turn(behind []float64, shares []Share) int {
	total, best := 0.0, 0
	for i, share := range shares {
		behind[i] += share.Weight
		total += share.Weight
		if behind[i] > behind[best] {
			best = i
		}
	}
	behind[best] -= total
	return best
}
