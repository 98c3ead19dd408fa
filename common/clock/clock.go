// Package clock provides the time of a host as recorded in events.
package clock

import "time"

// Millis is a point in time in milliseconds since the Unix epoch. Within one process it never decreases: it is the
// wall-clock time at process start plus the monotonic time since, so that a step of the wall clock does not shorten or
// lengthen a lease.
type Millis int64

// Add returns the point in time d after m; d is truncated to milliseconds.
func (m Millis) Add(d time.Duration) Millis { return m + Millis(d.Milliseconds()) }

// Sub returns the duration from o to m.
func (m Millis) Sub(o Millis) time.Duration { return time.Duration(m-o) * time.Millisecond }

// Clock returns the current time.
type Clock interface{ Now() Millis }

type system struct{ start time.Time }

// System returns the clock of the process.
func System() Clock { return system{start: time.Now()} }

func (s system) Now() Millis {
	return Millis(s.start.UnixMilli() + time.Since(s.start).Milliseconds())
}
