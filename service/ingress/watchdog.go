package ingress

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/dial"
	"github.com/hyssopreel/hyssopreel/common/logging"
)

const (
	// watchEvery is how often running streams are looked at.
	watchEvery = 100 * time.Millisecond
	// silentFirst is the least time without a first event after which a stream may be lost: longer than an engine
	// that has a free slot takes.
	silentFirst = 300 * time.Millisecond
	// overtaken is how much later other streams must have been sent that began before this one.
	overtaken = 100 * time.Millisecond
	// overtakers is the number of such streams.
	overtakers = 2
	// silentPauses is the number of the route's pauses between events after which a stream that began may be lost.
	silentPauses = 3
	// silentServer is the time without any event from a server after which it is probed.
	silentServer = 500 * time.Millisecond
	// probeTimeout bounds a probe, which is a new connection.
	probeTimeout = 300 * time.Millisecond
	// pauseDefault stands for a route's pause if it does not say.
	pauseDefault = 200 * time.Millisecond
)

var (
	// errLost ends a stream whose answer does not come although its server serves others.
	errLost = errors.New("answer does not come while the server serves later requests")
	// errServerSilent ends the streams of a server that takes no connections.
	errServerSilent = errors.New("server is silent and takes no connections")
)

// progress is what an engine has shown lately.
type progress struct {
	mu sync.Mutex
	// begun holds when the last streams were sent that have begun, the latest first.
	begun [overtakers]time.Time
	// event is when the last event of any stream arrived.
	event time.Time
	// probed is when the last probe began.
	probed time.Time
}

func (p *progress) noteBegun(sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, t := range p.begun {
		if sent.After(t) {
			copy(p.begun[i+1:], p.begun[i:])
			p.begun[i] = sent
			return
		}
	}
}

func (p *progress) noteEvent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.event = now
}

// overtook reports whether enough streams were sent later and have begun.
func (p *progress) overtook(sent time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.begun {
		if t.Sub(sent) <= overtaken {
			return false
		}
	}
	return true
}

// lastEvent returns when the last event arrived.
func (p *progress) lastEvent() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.event
}

// mayProbe reports whether a probe may begin, and notes that it does.
func (p *progress) mayProbe(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.probed) < silentServer {
		return false
	}
	p.probed = now
	return true
}

// watched is one running stream.
type watched struct {
	lease *Lease
	pause time.Duration
	sent  time.Time
	begun atomic.Bool
	// last is when the last event arrived, in Unix nanoseconds.
	last   atomic.Int64
	cancel context.CancelCauseFunc
}

// noteEvent records that events arrived, and reports whether they are the first of this send.
func (w *watched) noteEvent(now time.Time) (first bool) {
	w.last.Store(now.UnixNano())
	p := &w.lease.backend.progress
	if first = w.begun.CompareAndSwap(false, true); first {
		p.noteBegun(w.sent)
	}
	p.noteEvent(now)
	return first
}

// watchdog ends streams whose answer is lost, so that they can be asked for again before their callers leave.
type watchdog struct {
	now func() time.Time

	mu      sync.Mutex
	streams map[*watched]struct{}
}

func newWatchdog(now func() time.Time) *watchdog {
	return &watchdog{now: now, streams: map[*watched]struct{}{}}
}

func (d *watchdog) add(w *watched) {
	w.last.Store(w.sent.UnixNano())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.streams[w] = struct{}{}
}

func (d *watchdog) remove(w *watched) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.streams, w)
}

func (d *watchdog) run(ctx context.Context) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.check()
		case <-ctx.Done():
			return
		}
	}
}

func (d *watchdog) check() {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.streams {
		silent := now.Sub(time.Unix(0, w.last.Load()))
		p := &w.lease.backend.progress
		switch {
		case !w.begun.Load() && silent > silentFirst && p.overtook(w.sent),
			w.begun.Load() && silent > silentPauses*w.pause && now.Sub(p.lastEvent()) < w.pause:
			w.cancel(errLost)
		case silent > silentServer && now.Sub(p.lastEvent()) > silentServer && p.mayProbe(now):
			go d.probe(w.lease)
		}
	}
}

// probe ends the streams of a server that takes no connections.
func (d *watchdog) probe(l *Lease) {
	c, err := dial.New(probeTimeout).Dial("tcp", l.backend.info.Address)
	if err == nil {
		_ = c.Close()
		return
	}
	l.Failed(err)
	logging.Emit(logging.ServerSilent, logging.Fields{"server": l.ID(), "error": err})
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.streams {
		if w.lease.backend == l.backend && d.now().Sub(time.Unix(0, w.last.Load())) > silentServer {
			w.cancel(errServerSilent)
		}
	}
}
