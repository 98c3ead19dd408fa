package placement

// Explanation says how a policy rates one candidate.
type Explanation struct {
	// RejectedBy has the names of the filters that do not pass the candidate.
	RejectedBy []string
	// Costs has the costs that are not 0, by name, and Total their sum, in milliseconds of expected delay.
	Costs map[string]float64
	Total float64
}

// Explain returns how the policy rates a candidate.
func (p Policy) Explain(r *Request, c *Candidate) Explanation {
	e := Explanation{Costs: map[string]float64{}}
	for _, filter := range p.Filters {
		if !filter.Pass(r, c) {
			e.RejectedBy = append(e.RejectedBy, filter.Name)
		}
	}
	for _, cost := range p.Costs {
		ms := cost.Of(r, c)
		e.Total += ms
		if ms != 0 {
			e.Costs[cost.Name] = ms
		}
	}
	return e
}
