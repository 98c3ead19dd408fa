package membudget

const (
	// liveFraction is the part of the heap limit that may be in use: with more, the garbage collector runs without a pause.
	liveFraction = 0.88
	// minRestBytes is what a host without clients uses in the heap at least.
	minRestBytes = 14 << 20
	// minClientFraction bounds the memory for clients from below, for hosts that have hardly any.
	minClientFraction = 0.18
	// restSamples is the number of observations of which the least counts: a heap that was measured before its clients'
	// requests ended looks larger than the rest is.
	restSamples = 60
)

// Rest estimates what a process uses in the heap besides its clients.
type Rest struct {
	samples [restSamples]int64
	count   int
}

// Observe records one estimate in bytes.
func (r *Rest) Observe(n int64) {
	r.samples[r.count%restSamples] = n
	r.count++
}

// Bytes returns the least of the last estimates, but at least minRestBytes.
func (r *Rest) Bytes() int64 {
	if r.count < restSamples {
		return minRestBytes
	}
	least := r.samples[0]
	for _, n := range r.samples {
		least = min(least, n)
	}
	return max(least, minRestBytes)
}

// ClientBytes returns the limit of a budget, for a heap limit and what the process uses besides; 0 is no limit.
func ClientBytes(heapLimit, rest int64) int64 {
	if heapLimit <= 0 {
		return 0
	}
	return max(int64(float64(heapLimit)*liveFraction)-rest, int64(float64(heapLimit)*minClientFraction))
}
