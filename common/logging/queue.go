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
	// maxQueuedLines bounds the lines that wait for a slow output; at 300 bytes a line they use about 1 MB.
	maxQueuedLines = 4096
	// maxLinesPerSecond bounds the volume of the log. A host writes several times less at its peak of about 100
	// requests per second.
	maxLinesPerSecond = 500
	// maxBurstLines is the size of a burst above that rate, for example when many hosts and backend servers change at
	// once.
	maxBurstLines = 2000
	// dropReportInterval is the time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// AsyncWriter is a log output that never blocks its callers. Lines above the rate limit or the queue size are
// dropped, counted and reported as LinesDropped.
type AsyncWriter struct {
	out      io.Writer
	lines    chan []byte
	limiter  *rate.Limiter
	dropped  atomic.Int64
	stop     chan struct{}
	stopOnce sync.Once
	stopped  chan struct{}
}

// NewAsyncWriter starts a goroutine that writes lines to out. The caller closes the writer.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	q := &AsyncWriter{
		out: out, lines: make(chan []byte, maxQueuedLines), limiter: rate.NewLimiter(maxLinesPerSecond, maxBurstLines),
		stop: make(chan struct{}), stopped: make(chan struct{}),
	}
	go q.run()
	return q
}

// Write queues a copy of one line. It always reports success, so that a dropped line does not fail its event.
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

// Close writes the queued lines and stops the writer's goroutine. Lines written later are dropped. It always
// returns nil.
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
		q.dropped.Add(1) // reported when the output works again
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
