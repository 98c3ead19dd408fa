package logging

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow output; at 300 bytes a line they take about 1 MB.
	maxQueuedLines = 4096
	// maxLinesPerSecond bounds the volume of the log: several times what a host writes at its peak of about 100 requests
	// a second.
	maxLinesPerSecond = 500
	// maxBurstLines may be written at once, as when many hosts and servers change together.
	maxBurstLines = 2000
	// dropReportInterval is how often dropped lines are reported.
	dropReportInterval = time.Second
)

// AsyncWriter is an output of the log that never blocks its writer and whose volume is bounded. Lines above the bounds are
// dropped and counted.
type AsyncWriter struct {
	out      io.Writer
	lines    chan []byte
	limiter  *rate.Limiter
	dropped  atomic.Int64
	stop     chan struct{}
	stopOnce sync.Once
	stopped  chan struct{}
}

// NewAsyncWriter starts writing lines to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	q := &AsyncWriter{
		out: out, lines: make(chan []byte, maxQueuedLines), limiter: rate.NewLimiter(maxLinesPerSecond, maxBurstLines),
		stop: make(chan struct{}), stopped: make(chan struct{}),
	}
	go q.run()
	return q
}

// Write queues one line. It always reports success, because a line that cannot be written must not fail its event.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	if !q.limiter.Allow() {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the lines that wait and ends the queue. Later lines are dropped.
func (q *AsyncWriter) Close() error {
	q.stopOnce.Do(func() { close(q.stop) })
	<-q.stopped
	return nil
}

func (q *AsyncWriter) run() {
	defer close(q.stopped)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-ticker.C:
			q.reportDropped()
		case <-q.stop:
			q.drain()
			return
		}
	}
}

func (q *AsyncWriter) write(line []byte) {
	if _, err := q.out.Write(line); err != nil {
		q.dropped.Add(1) // reported once the output works again
	}
}

func (q *AsyncWriter) reportDropped() {
	if n := q.dropped.Swap(0); n > 0 {
		Emit(LinesDropped, Fields{"lines": n})
	}
}

func (q *AsyncWriter) drain() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			return
		}
	}
}
