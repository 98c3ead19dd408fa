package ingress

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/core/placement"
)

// stuckStream returns a watchdog with one stream at a server, and the cause with which the stream was ended.
func stuckStream(address string, now *time.Time) (*watchdog, *monitoredStream, func() error) {
	d := newWatchdog(func() time.Time { return *now })
	servers := NewServers(func() time.Time { return *now }, nil)
	servers.Put(placement.Server{ID: "i-1", Service: "s", Address: address, Slots: 4})
	ended := make(chan error, 1)
	lease, _ := servers.AcquireServer("i-1")
	w := &monitoredStream{
		server: lease, pauseObjective: 200 * time.Millisecond, sentAt: *now,
		cancel: func(cause error) { ended <- cause },
	}
	d.add(w)
	return d, w, func() error {
		select {
		case err := <-ended:
			return err
		default:
			return nil
		}
	}
}

// Guards against callers that leave because the answer to a stream was lost, and against giving up streams that only
// wait in a queue.
func TestWatchdogEndsStreamsThatOthersOvertook(t *testing.T) {
	now := time.Now()
	began := now
	d, w, ended := stuckStream("127.0.0.1:1", &now)
	p := &w.server.backend.progress
	now = began.Add(400 * time.Millisecond)
	p.recordEvent(now)
	d.check()
	if err := ended(); err != nil {
		t.Fatalf("ended without evidence: %v", err)
	}
	p.recordStreamStart(began.Add(150 * time.Millisecond))
	d.check()
	if err := ended(); err != nil {
		t.Fatalf("ended after one later stream: %v", err)
	}
	p.recordStreamStart(began.Add(200 * time.Millisecond))
	d.check()
	if err := ended(); !errors.Is(err, errResponseLost) {
		t.Fatalf("not ended after two later streams: %v", err)
	}
}

// Guards against streams that stop in the middle while their server serves others.
func TestWatchdogEndsStreamsWithALongPause(t *testing.T) {
	now := time.Now()
	d, w, ended := stuckStream("127.0.0.1:1", &now)
	w.recordEvent(now)
	now = now.Add(500 * time.Millisecond)
	w.server.backend.progress.recordEvent(now)
	d.check()
	if err := ended(); err != nil {
		t.Fatalf("ended within three pauses: %v", err)
	}
	now = now.Add(150 * time.Millisecond)
	w.server.backend.progress.recordEvent(now)
	d.check()
	if err := ended(); !errors.Is(err, errResponseLost) {
		t.Fatalf("not ended: %v", err)
	}
}

// Guards against streams that hang at a server which is gone without a reset.
func TestWatchdogProbesASilentServer(t *testing.T) {
	for name, listens := range map[string]bool{"alive": true, "gone": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			if !listens {
				_ = l.Close()
			}
			now := time.Now()
			d, w, ended := stuckStream(l.Addr().String(), &now)
			now = now.Add(600 * time.Millisecond)
			d.probe(w.server)
			if err := ended(); errors.Is(err, errServerUnreachable) == listens {
				t.Fatalf("ended with %v", err)
			}
		})
	}
}
