package ingress

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/core/placement"
)

// stuckStream returns a watchdog, its only stream, and a function that returns the cause with which the stream was
// canceled, or nil.
func stuckStream(address string, now *time.Time) (*watchdog, *monitoredStream, func() error) {
	d := newWatchdog(func() time.Time { return *now })
	servers := NewServers(func() time.Time { return *now }, nil)
	servers.Put(placement.Server{ID: "i-1", Service: "s", Address: address, Slots: 4})
	canceled := make(chan error, 1)
	acquired, _ := servers.AcquireServer("i-1")
	monitored := &monitoredStream{
		server: acquired, pauseObjective: 200 * time.Millisecond, sentAt: *now,
		cancel: func(cause error) { canceled <- cause },
	}
	d.add(monitored)
	return d, monitored, func() error {
		select {
		case err := <-canceled:
			return err
		default:
			return nil
		}
	}
}

// Guards against callers that time out because the response to a stream was lost, and against canceling streams that only
// wait in the server's queue.
func TestWatchdogEndsStreamsThatOthersOvertook(t *testing.T) {
	now := time.Now()
	startedAt := now
	d, monitored, cancelCause := stuckStream("127.0.0.1:1", &now)
	progress := &monitored.server.backend.progress
	now = startedAt.Add(400 * time.Millisecond)
	progress.recordEvent(now)
	d.check()
	if err := cancelCause(); err != nil {
		t.Fatalf("canceled before any later stream started: %v", err)
	}
	progress.recordStreamStart(startedAt.Add(150 * time.Millisecond))
	d.check()
	if err := cancelCause(); err != nil {
		t.Fatalf("canceled after one later stream started: %v", err)
	}
	progress.recordStreamStart(startedAt.Add(200 * time.Millisecond))
	d.check()
	if err := cancelCause(); !errors.Is(err, errResponseLost) {
		t.Fatalf("not canceled with errResponseLost after two later streams started: %v", err)
	}
}

// Guards against streams that stop after some events while their server serves others.
func TestWatchdogEndsStreamsWithALongPause(t *testing.T) {
	now := time.Now()
	d, monitored, cancelCause := stuckStream("127.0.0.1:1", &now)
	monitored.recordEvent(now)
	now = now.Add(500 * time.Millisecond)
	monitored.server.backend.progress.recordEvent(now)
	d.check()
	if err := cancelCause(); err != nil {
		t.Fatalf("canceled within three pause objectives: %v", err)
	}
	now = now.Add(150 * time.Millisecond)
	monitored.server.backend.progress.recordEvent(now)
	d.check()
	if err := cancelCause(); !errors.Is(err, errResponseLost) {
		t.Fatalf("not canceled with errResponseLost after three pause objectives: %v", err)
	}
}

// Guards against streams that hang because their server disappeared without a connection reset.
func TestWatchdogProbesASilentServer(t *testing.T) {
	for name, listens := range map[string]bool{"alive": true, "gone": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			if !listens {
				_ = listener.Close()
			}
			now := time.Now()
			d, monitored, cancelCause := stuckStream(listener.Addr().String(), &now)
			now = now.Add(600 * time.Millisecond)
			d.probe(monitored.server)
			if err := cancelCause(); errors.Is(err, errServerUnreachable) == listens {
				t.Fatalf("server listens: %v, stream canceled with %v", listens, err)
			}
		})
	}
}

// Guards against a stalled stream that never ends because its server sends a comment now and then: only events are
// progress. Slow events are.
func TestCommentsAreNoProgress(t *testing.T) {
	for text, want := range map[string]int{
		": still here\n\n": 0, "\n": 0, "event: ping\n\n": 0, "id: 1\ndata: x\n\n": 1, "data: x\n\n": 1, "id: 1\n\nid: 2\n\n": 2, "data: x\n": 0,
	} {
		var r sseParser
		if _, err := r.parse([]byte(text)); err != nil {
			t.Fatal(err)
		}
		if r.progress != want {
			t.Errorf("%q: progress %d, want %d", text, r.progress, want)
		}
	}
}
