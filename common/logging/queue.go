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
	// queueLines bounds the lines that wait for a slow output; at 300 bytes a line they take about 1 MB.
	queueLines = 4096
	// linesPerSecond bounds the volume of the log: several times what a host writes at its peak of about 100 requests
	// a second.
	linesPerSecond = 500
	// burstLines may be written at once, as when many hosts and servers change together.
	burstLines = 2000
	// reportEvery is how often dropped lines are reported.
	reportEvery = time.Second
)

// Queue is an output of the log that never blocks its writer and whose volume is bounded. Lines above the bounds are
// dropped and counted.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	closed  chan struct{}
}

// NewQueue starts writing lines to out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{
		out: out, lines: make(chan []byte, queueLines), limit: rate.NewLimiter(linesPerSecond, burstLines),
		done: make(chan struct{}), closed: make(chan struct{}),
	}
	go q.run()
	return q
}

// Write queues one line. It always reports success, because a line that cannot be written must not fail its event.
func (q *Queue) Write(line []byte) (int, error) {
	if !q.limit.Allow() {
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
func (q *Queue) Close() error {
	q.once.Do(func() { close(q.done) })
	<-q.closed
	return nil
}

func (q *Queue) run() {
	defer close(q.closed)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-ticker.C:
			q.report()
		case <-q.done:
			q.drain()
			return
		}
	}
}

func (q *Queue) write(line []byte) {
	if _, err := q.out.Write(line); err != nil {
		q.dropped.Add(1) // reported once the output works again
	}
}

func (q *Queue) report() {
	if n := q.dropped.Swap(0); n > 0 {
		Emit(LinesDropped, Fields{"lines": n})
	}
}

func (q *Queue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			return
		}
	}
}
