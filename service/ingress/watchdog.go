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
	// watchdogInterval is the interval between checks of the running streams.
	watchdogInterval = 100 * time.Millisecond
	// firstEventTimeout is the time without a first event after which a stream may be lost. An engine with a free slot
	// sends the first event sooner.
	firstEventTimeout = 300 * time.Millisecond
	// overtakeMargin is by how much later an overtaking stream must have been sent.
	overtakeMargin = 100 * time.Millisecond
	// minOvertakingStreams is how many later streams of the server must have started before a stream without a first
	// event counts as lost, not as queued.
	minOvertakingStreams = 2
	// pauseTimeoutFactor is the number of pause objectives without an event after which a started stream may be lost.
	pauseTimeoutFactor = 3
	// serverSilenceTimeout is the time without any event from a server after which it is probed, and the shortest time
	// between two probes.
	serverSilenceTimeout = 500 * time.Millisecond
	// probeTimeout bounds a probe, which opens a connection.
	probeTimeout = 300 * time.Millisecond
	// defaultPauseObjective holds for a route without a pause objective.
	defaultPauseObjective = 200 * time.Millisecond
)

var (
	// errResponseLost cancels a stream that sends nothing while its server sends events of others.
	errResponseLost = errors.New("no response while the server serves later requests")
	// errServerUnreachable cancels the streams of a server that accepts no connections.
	errServerUnreachable = errors.New("server sends nothing and accepts no connections")
)

// serverProgress records the recent events of a backend server's streams.
type serverProgress struct {
	mu sync.Mutex
	// startedSentAt holds the times at which the requests of started streams were sent, the latest first.
	startedSentAt [minOvertakingStreams]time.Time
	// lastEventAt is when the last event of any stream arrived.
	lastEventAt time.Time
	// lastProbeAt is when the last probe started.
	lastProbeAt time.Time
}

func (p *serverProgress) recordStreamStart(sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, t := range p.startedSentAt {
		if sentAt.After(t) {
			copy(p.startedSentAt[i+1:], p.startedSentAt[i:])
			p.startedSentAt[i] = sentAt
			return
		}
	}
}

func (p *serverProgress) recordEvent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEventAt = now
}

// wasOvertaken reports whether minOvertakingStreams started streams were sent more than overtakeMargin after sentAt.
func (p *serverProgress) wasOvertaken(sentAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.startedSentAt {
		if t.Sub(sentAt) <= overtakeMargin {
			return false
		}
	}
	return true
}

func (p *serverProgress) lastEventTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastEventAt
}

// tryStartProbe reports whether a probe may start, and records its start.
func (p *serverProgress) tryStartProbe(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastProbeAt) < serverSilenceTimeout {
		return false
	}
	p.lastProbeAt = now
	return true
}

// monitoredStream is one upstream request for a stream.
type monitoredStream struct {
	server         *AcquiredServer
	pauseObjective time.Duration
	sentAt         time.Time
	// started is set by the first event.
	started atomic.Bool
	// lastEventNanos is when the last event arrived, or sentAt before the first one, in Unix nanoseconds.
	lastEventNanos atomic.Int64
	cancel         context.CancelCauseFunc
	// accepted is set once the server has responded with a stream. Only the request's goroutine uses it.
	accepted bool
}

// recordEvent records that events arrived, and reports whether they are the first of this upstream request.
func (w *monitoredStream) recordEvent(now time.Time) (first bool) {
	w.lastEventNanos.Store(now.UnixNano())
	progress := &w.server.backend.progress
	if first = w.started.CompareAndSwap(false, true); first {
		progress.recordStreamStart(w.sentAt)
	}
	progress.recordEvent(now)
	return first
}

// watchdog cancels streams whose response is lost, so that they can be resumed before their callers leave.
type watchdog struct {
	now func() time.Time

	// added receives a value when a stream is added while there is no other.
	added chan struct{}

	mu      sync.Mutex
	streams map[*monitoredStream]struct{}
}

func newWatchdog(now func() time.Time) *watchdog {
	return &watchdog{now: now, added: make(chan struct{}, 1), streams: map[*monitoredStream]struct{}{}}
}

func (d *watchdog) add(monitored *monitoredStream) {
	monitored.lastEventNanos.Store(monitored.sentAt.UnixNano())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.streams[monitored] = struct{}{}
	if len(d.streams) == 1 {
		select {
		case d.added <- struct{}{}:
		default:
		}
	}
}

func (d *watchdog) isIdle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.streams) == 0
}

func (d *watchdog) remove(monitored *monitoredStream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.streams, monitored)
}

// run checks the streams every watchdogInterval while there are any.
func (d *watchdog) run(ctx context.Context) {
	for {
		var added <-chan struct{}
		var check <-chan time.Time
		if d.isIdle() {
			added = d.added
		} else {
			check = time.After(watchdogInterval)
		}
		select {
		case <-check:
			d.check()
		case <-added:
		case <-ctx.Done():
			return
		}
	}
}

// check cancels streams that were overtaken before their first event, and started streams that pause too long while
// their server sends events of others. It probes servers that send no events at all.
func (d *watchdog) check() {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for monitored := range d.streams {
		silence := now.Sub(time.Unix(0, monitored.lastEventNanos.Load()))
		progress := &monitored.server.backend.progress
		switch {
		case !monitored.started.Load() && silence > firstEventTimeout && progress.wasOvertaken(monitored.sentAt),
			monitored.started.Load() && silence > pauseTimeoutFactor*monitored.pauseObjective && now.Sub(progress.lastEventTime()) < monitored.pauseObjective:
			monitored.cancel(errResponseLost)
		case silence > serverSilenceTimeout && now.Sub(progress.lastEventTime()) > serverSilenceTimeout && progress.tryStartProbe(now):
			go d.probe(monitored.server)
		}
	}
}

// probe connects to a silent server. If that fails, it ejects the server and cancels its silent streams.
func (d *watchdog) probe(acquired *AcquiredServer) {
	conn, err := dial.New(probeTimeout).Dial("tcp", acquired.backend.info.Address)
	if err == nil {
		_ = conn.Close()
		return
	}
	acquired.RecordConnectFailure(err)
	logging.Emit(logging.ServerUnreachable, logging.Fields{"server": acquired.ID(), "error": err})
	d.mu.Lock()
	defer d.mu.Unlock()
	for monitored := range d.streams {
		if monitored.server.backend == acquired.backend && d.now().Sub(time.Unix(0, monitored.lastEventNanos.Load())) > serverSilenceTimeout {
			monitored.cancel(errServerUnreachable)
		}
	}
}
