package memlimit

import (
	"runtime/metrics"
	"sync"

	"github.com/hyssopreel/hyssopreel/core/membudget"
)

// HeapFraction is the fraction of a process's memory that the Go runtime may use. The rest is for the program itself
// (13 MB resident), thread stacks, the C library and bytes that arrived and were not read.
const HeapFraction = 0.7

// liveMetric is the size of the objects that the last garbage collection found in use.
const liveMetric = "/gc/heap/live:bytes"

// Sizer sets Options.Bytes of a limiter to what the process's memory leaves for clients.
type Sizer struct {
	limiter *Limiter

	mu          sync.Mutex
	memoryBytes int64
	rest        membudget.Rest
}

// NewSizer returns a sizer for a process that may use memoryBytes; 0 is no limit.
func NewSizer(l *Limiter, memoryBytes int64) *Sizer {
	s := &Sizer{limiter: l, memoryBytes: memoryBytes}
	s.apply()
	return s
}

// SetMemory changes the memory that the process may use.
func (s *Sizer) SetMemory(memoryBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memoryBytes = memoryBytes
	s.apply()
}

// Update measures what the process uses besides its clients, and calls Limiter.Sweep. It is called every 500 ms.
func (s *Sizer) Update() {
	s.limiter.Sweep()
	sample := []metrics.Sample{{Name: liveMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return
	}
	used, limit, conns := s.limiter.Usage()
	scope := s.limiter.options.Scope
	scope.Gauge("client_memory_bytes").Update(float64(used))
	scope.Gauge("client_memory_limit_bytes").Update(float64(limit))
	scope.Gauge("client_connections").Update(float64(conns))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rest.Observe(int64(sample[0].Value.Uint64()) - used)
	s.apply()
}

func (s *Sizer) apply() {
	s.limiter.SetBytes(membudget.ClientBytes(int64(float64(s.memoryBytes)*HeapFraction), s.rest.Bytes()))
}
