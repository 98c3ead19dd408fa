package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/service/upstream"
)

const (
	// maxResumes bounds how often one stream is continued after it broke off.
	maxResumes = 3
	// streamBufferBytes is the most that is read from a stream at once; an event is about 100 bytes.
	streamBufferBytes = 4 << 10
	// writeGracePeriod is how long after the request's deadline a write to a slow caller may still take.
	writeGracePeriod = 200 * time.Millisecond
)

// stream is the answer of a streaming request on its way to the caller.
type stream struct {
	*exchange
	w          http.ResponseWriter
	controller *http.ResponseController

	reader     sseParser
	headerSent bool
	// interruptions counts the continuations after a break.
	interruptions int
	// possibleExecutors holds the servers that may have run the stream and may be alive; a route bounds their number.
	possibleExecutors map[string]bool
	// resumeServer is the server that ran the stream before it broke off; it is asked first, because it may be alive.
	resumeServer string
	// onResumeServer is set if the send under way is such a second one; without an event it is the last at that server.
	onResumeServer bool
	// monitored is the send that is under way.
	monitored *monitoredStream
	// firstEventAt is when the first event was passed on.
	firstEventAt time.Time
}

// errNotRun means that the server said that it did not run the request.
var errNotRun = errors.New("not run")

// errServerError means that the server answered with an error of its own.
var errServerError = errors.New("server error")

// errCallerGone means that the answer cannot be written to the caller.
var errCallerGone = errors.New("caller's connection failed")

// run streams the answer of a backend server to the caller, and continues it at another server if the route allows
// that. It returns nil if the answer was passed on whole.
func (s *stream) run(ctx context.Context) *failure {
	s.reader.lastID = s.metadata.LastEventID
	for ctx.Err() == nil && s.upstreamRequests < maxUpstreamRequests {
		lease, err := s.acquireForStream(ctx)
		if err != nil {
			return s.noServerFailure(ctx, err)
		}
		s.upstreamRequests++
		done, err := s.streamFrom(ctx, lease)
		lease.Release()
		switch {
		case errors.Is(err, errCallerGone):
			return &failure{reason: "caller left", cause: err}
		case done:
			return nil
		case !s.canResume():
			return s.noResponseFailure(ctx)
		}
	}
	return s.noResponseFailure(ctx)
}

// acquireForStream finds a server; a stream that broke off goes on at the same server if that still takes connections.
func (s *stream) acquireForStream(ctx context.Context) (*AcquiredServer, error) {
	s.onResumeServer = false
	if s.resumeServer == "" {
		return s.acquireOrWait(ctx)
	}
	server := s.resumeServer
	s.resumeServer = ""
	lease, inUse := s.ingress.servers.AcquireServer(server)
	switch {
	case lease != nil:
		s.server, s.load, s.loadAge = lease.ID(), lease.Load, lease.LoadAge
		s.onResumeServer = true
		return lease, nil
	case !inUse:
		delete(s.possibleExecutors, server)
	}
	if len(s.possibleExecutors) >= s.maxExecutions() {
		return nil, errNoServer
	}
	return s.acquireOrWait(ctx)
}

// canResume reports whether the stream may be sent to a server after the last send failed.
func (s *stream) canResume() bool {
	switch {
	case s.executions == 0:
		return true
	case !s.route.Retryable() || s.interruptions > maxResumes:
		return false
	}
	return s.resumeServer != "" || len(s.possibleExecutors) < s.maxExecutions()
}

// recordExecution notes that the server may have run the stream. One that is known to have ended does not count.
func (s *stream) recordExecution(server string, ended bool) {
	s.executions++
	if ended {
		delete(s.possibleExecutors, server)
		return
	}
	if s.possibleExecutors == nil {
		s.possibleExecutors = map[string]bool{}
	}
	s.possibleExecutors[server] = true
}

// streamFrom passes on what one server streams. done is set if the answer is whole.
func (s *stream) streamFrom(caller context.Context, lease *AcquiredServer) (done bool, err error) {
	ctx, cancel := context.WithCancelCause(caller)
	defer cancel(nil)
	s.monitored = s.newMonitoredStream(lease, cancel)
	s.ingress.watchdog.add(s.monitored)
	defer s.ingress.watchdog.remove(s.monitored)
	done, err = s.sendAndForward(ctx, lease)
	if cause := context.Cause(ctx); caller.Err() == nil && cause != nil {
		err = errors.Wrapf(cause, "%v", err)
	}
	if err != nil && !errors.Is(err, errCallerGone) && !errors.Is(err, errNotRun) {
		s.recordInterruption(caller, lease, err)
	}
	return done, err
}

// newMonitoredStream returns the entry of a send for the watchdog. Only a stream that may be asked for again is ended by it.
func (s *stream) newMonitoredStream(lease *AcquiredServer, cancel context.CancelCauseFunc) *monitoredStream {
	w := &monitoredStream{server: lease, pauseObjective: s.route.PauseObjective, sentAt: s.ingress.now(), cancel: cancel}
	if w.pauseObjective <= 0 {
		w.pauseObjective = defaultPauseObjective
	}
	if !s.route.Retryable() || s.interruptions >= maxResumes {
		w.cancel = func(error) {}
	}
	return w
}

func (s *stream) sendAndForward(ctx context.Context, lease *AcquiredServer) (done bool, err error) {
	resp, answer, err := s.sendUpstream(ctx, lease, s.reader.lastID)
	if err != nil {
		return false, err
	}
	defer resp.Close()
	if answer.NotRun {
		_, err := io.Copy(io.Discard, io.LimitReader(resp, maxResponseBytes))
		s.lastErr = errors.Newf("backend server %s answered %d: not run (%v)", lease.ID(), resp.Status, err)
		lease.MarkFull()
		return false, errors.Mark(s.lastErr, errNotRun)
	}
	if resp.Status != http.StatusOK {
		return s.forwardNonStream(lease, resp, answer)
	}
	if err := s.validateResponse(resp, answer, 0); err != nil {
		return false, err
	}
	return s.forwardEvents(lease, resp)
}

// forwardNonStream passes on an answer that is no stream.
func (s *stream) forwardNonStream(lease *AcquiredServer, resp *upstream.Response, answer ResponseMetadata) (bool, error) {
	body, err := io.ReadAll(io.LimitReader(resp, maxResponseBytes+1))
	if err == nil {
		err = s.validateResponse(resp, answer, len(body))
	}
	if err == nil && s.headerSent {
		err = errors.Newf("backend server %s answered the continuation with %d", lease.ID(), resp.Status)
	}
	// The server has run the stream, so that another one may be asked only if the route allows two.
	if err == nil && resp.Status >= http.StatusInternalServerError && s.route.Retryable() && len(s.possibleExecutors)+1 < s.maxExecutions() {
		err = errors.Mark(errors.Newf("backend server %s answered %d", lease.ID(), resp.Status), errServerError)
	}
	if err != nil {
		return false, err
	}
	s.executions++
	recordResponseStatus(lease, resp.Status)
	if err := writeResponse(s.w, resp, body); err != nil {
		return false, errors.Mark(err, errCallerGone)
	}
	return true, nil
}

// recordInterruption records a send that ended before the answer was whole.
func (s *stream) recordInterruption(ctx context.Context, lease *AcquiredServer, err error) {
	var f *upstream.SendError
	dialFailed := errors.As(err, &f) && f.DialFailed
	dead := errors.Is(err, errServerUnreachable)
	s.lastErr = err
	s.reader.discardPartial()
	if ctx.Err() != nil {
		if !dialFailed {
			s.executions++
		}
		return
	}
	s.interruptions++
	switch {
	case dialFailed:
		delete(s.possibleExecutors, lease.ID())
		lease.RecordConnectFailure(err)
	case dead:
		s.recordExecution(lease.ID(), true)
	case errors.Is(err, errServerError):
		s.recordExecution(lease.ID(), false)
		lease.RecordResponseFailure(err)
	default:
		s.recordExecution(lease.ID(), false)
		lease.RecordResponseFailure(err)
		if s.canResumeOnSameServer(lease) {
			s.resumeServer = lease.ID()
		}
	}
	logging.Emit(logging.StreamBroke, logging.Fields{
		"request": s.metadata.Attempt, "server": lease.ID(), "after_event": s.reader.lastID, "resumes": s.interruptions, "error": err,
	})
}

// canResumeOnSameServer reports whether a stream that broke off may go on at the same server: the server has shown that it
// works on the stream, or only one connection to it has failed so far.
func (s *stream) canResumeOnSameServer(lease *AcquiredServer) bool {
	return s.monitored.started.Load() || !s.onResumeServer && !lease.RecentlyEjected()
}

func (s *stream) forwardEvents(lease *AcquiredServer, resp *upstream.Response) (bool, error) {
	buffer := make([]byte, streamBufferBytes)
	first := s.reader.lastID
	check := s.interruptions > 0 && first != ""
	for {
		n, readErr := resp.Read(buffer)
		events, err := s.reader.parse(buffer[:n])
		if err != nil {
			return false, err
		}
		if check && len(events) > 0 {
			check = false
			if !isLaterEventID(first, firstEventID(events)) {
				s.reader.lastID = first
				return false, errors.Newf("backend server %s did not continue after event %s", lease.ID(), first)
			}
		}
		if len(events) > 0 {
			if s.monitored.recordEvent(s.ingress.now()) {
				lease.RecordSuccess()
			}
			if err := s.writeEvents(resp, events); err != nil {
				return false, err
			}
		}
		switch {
		case readErr == io.EOF && len(s.reader.partialEvent()) == 0:
			s.executions++
			return true, s.sendHeader(resp)
		case readErr != nil:
			return false, errors.Wrapf(readErr, "stream of backend server %s", lease.ID())
		}
	}
}

// sendHeader sends the header of the answer if that has not happened.
func (s *stream) sendHeader(resp *upstream.Response) error {
	if s.headerSent {
		return nil
	}
	s.headerSent = true
	copyResponseHeader(s.w.Header(), resp.Header)
	s.w.WriteHeader(resp.Status)
	return nil
}

func (s *stream) writeEvents(resp *upstream.Response, events []byte) error {
	if err := s.sendHeader(resp); err != nil {
		return err
	}
	if s.firstEventAt.IsZero() {
		s.firstEventAt = s.ingress.now()
		// A caller that does not read must not hold the request beyond its time.
		if err := s.controller.SetWriteDeadline(s.deadline.Add(writeGracePeriod)); err != nil {
			return errors.Mark(err, errCallerGone)
		}
	}
	if _, err := s.w.Write(events); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	if err := s.controller.Flush(); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	return nil
}

// firstEventID returns the ID of the first event in b that has one.
func firstEventID(b []byte) string {
	var r sseParser
	n := eventEnd(b)
	for n > 0 && r.lastID == "" {
		r.recordEventID(b[:n])
		b = b[n:]
		n = eventEnd(b)
	}
	return r.lastID
}
