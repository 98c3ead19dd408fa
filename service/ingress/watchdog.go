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
	// watchdogInterval is how often running streams are looked at.
	watchdogInterval = 100 * time.Millisecond
	// firstEventTimeout is the least time without a first event after which a stream may be lost: longer than an engine
	// that has a free slot takes.
	firstEventTimeout = 300 * time.Millisecond
	// overtakeMargin is how much later other streams must have been sent that began before this one.
	overtakeMargin = 100 * time.Millisecond
	// minOvertakingStreams is the number of such streams.
	minOvertakingStreams = 2
	// pauseTimeoutFactor is the number of the route's pauses between events after which a stream that began may be lost.
	pauseTimeoutFactor = 3
	// serverSilenceTimeout is the time without any event from a server after which it is probed.
	serverSilenceTimeout = 500 * time.Millisecond
	// probeTimeout bounds a probe, which is a new connection.
	probeTimeout = 300 * time.Millisecond
	// defaultPauseObjective stands for a route's pause if it does not say.
	defaultPauseObjective = 200 * time.Millisecond
)

var (
	// errResponseLost ends a stream whose answer does not come although its server serves others.
	errResponseLost = errors.New("answer does not come while the server serves later requests")
	// errServerUnreachable ends the streams of a server that takes no connections.
	errServerUnreachable = errors.New("server is silent and takes no connections")
)

// serverProgress is what an engine has shown lately.
type serverProgress struct {
	mu sync.Mutex
	// startedSentAt holds when the last streams were sent that have begun, the latest first.
	startedSentAt [minOvertakingStreams]time.Time
	// lastEventAt is when the last event of any stream arrived.
	lastEventAt time.Time
	// lastProbeAt is when the last probe began.
	lastProbeAt time.Time
}

func (p *serverProgress) recordStreamStart(sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, t := range p.startedSentAt {
		if sent.After(t) {
			copy(p.startedSentAt[i+1:], p.startedSentAt[i:])
			p.startedSentAt[i] = sent
			return
		}
	}
}

func (p *serverProgress) recordEvent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEventAt = now
}

// wasOvertaken reports whether enough streams were sent later and have begun.
func (p *serverProgress) wasOvertaken(sent time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.startedSentAt {
		if t.Sub(sent) <= overtakeMargin {
			return false
		}
	}
	return true
}

// lastEventTime returns when the last event arrived.
func (p *serverProgress) lastEventTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastEventAt
}

// tryStartProbe reports whether a probe may begin, and notes that it does.
func (p *serverProgress) tryStartProbe(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastProbeAt) < serverSilenceTimeout {
		return false
	}
	p.lastProbeAt = now
	return true
}

// monitoredStream is one running stream.
type monitoredStream struct {
	server         *AcquiredServer
	pauseObjective time.Duration
	sentAt         time.Time
	started        atomic.Bool
	// lastEventNanos is when the last event arrived, in Unix nanoseconds.
	lastEventNanos atomic.Int64
	cancel         context.CancelCauseFunc
}

// recordEvent records that events arrived, and reports whether they are the first of this send.
func (w *monitoredStream) recordEvent(now time.Time) (first bool) {
	w.lastEventNanos.Store(now.UnixNano())
	p := &w.server.backend.progress
	if first = w.started.CompareAndSwap(false, true); first {
		p.recordStreamStart(w.sentAt)
	}
	p.recordEvent(now)
	return first
}

// watchdog ends streams whose answer is lost, so that they can be asked for again before their callers leave.
type watchdog struct {
	now func() time.Time

	mu      sync.Mutex
	streams map[*monitoredStream]struct{}
}

func newWatchdog(now func() time.Time) *watchdog {
	return &watchdog{now: now, streams: map[*monitoredStream]struct{}{}}
}

func (d *watchdog) add(w *monitoredStream) {
	w.lastEventNanos.Store(w.sentAt.UnixNano())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.streams[w] = struct{}{}
}

func (d *watchdog) remove(w *monitoredStream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.streams, w)
}

func (d *watchdog) run(ctx context.Context) {
	ticker := time.NewTicker(watchdogInterval)
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
		silent := now.Sub(time.Unix(0, w.lastEventNanos.Load()))
		p := &w.server.backend.progress
		switch {
		case !w.started.Load() && silent > firstEventTimeout && p.wasOvertaken(w.sentAt),
			w.started.Load() && silent > pauseTimeoutFactor*w.pauseObjective && now.Sub(p.lastEventTime()) < w.pauseObjective:
			w.cancel(errResponseLost)
		case silent > serverSilenceTimeout && now.Sub(p.lastEventTime()) > serverSilenceTimeout && p.tryStartProbe(now):
			go d.probe(w.server)
		}
	}
}

// probe ends the streams of a server that takes no connections.
func (d *watchdog) probe(l *AcquiredServer) {
	c, err := dial.New(probeTimeout).Dial("tcp", l.backend.info.Address)
	if err == nil {
		_ = c.Close()
		return
	}
	l.RecordConnectFailure(err)
	logging.Emit(logging.ServerUnreachable, logging.Fields{"server": l.ID(), "error": err})
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.streams {
		if w.server.backend == l.backend && d.now().Sub(time.Unix(0, w.lastEventNanos.Load())) > serverSilenceTimeout {
			w.cancel(errServerUnreachable)
		}
	}
}
