package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/core/ratelimit"
	"github.com/hyssopreel/hyssopreel/service/upstream"
)

const (
	// maxResumes bounds how often one stream is resumed after it broke off.
	maxResumes = 3
	// streamBufferBytes is the size of one read from a stream; an event is about 100 bytes.
	streamBufferBytes = 4 << 10
	// writeGracePeriod is how long after the request's deadline a write to a slow caller may go on.
	writeGracePeriod = 200 * time.Millisecond
)

// stream is an exchange whose response is a stream of events.
type stream struct {
	*exchange
	w          http.ResponseWriter
	controller *http.ResponseController

	reader     sseParser
	headerSent bool
	// interruptions counts the upstream requests that broke off or got no connection.
	interruptions int
	// possibleExecutors holds the servers that may still execute the stream; the route bounds their number.
	possibleExecutors executors
	// resumeServer is the ID of the server where the stream broke off, which may still execute it; it is resumed there first.
	resumeServer string
	// onResumeServer is set while the stream is resumed there; without an event, this is the last upstream request there.
	onResumeServer bool
	// monitored is the watchdog's entry of the current upstream request.
	monitored *monitoredStream
	// firstEventAt is when the first event was forwarded.
	firstEventAt time.Time
	// eventsComplete is set once all events of a successful response were forwarded.
	eventsComplete bool
	// skipUntil is the ID of the last event that the caller of a retained turn has; events up to it are not forwarded.
	skipUntil string
}

// errNotRun means that the server reported that it did not start work on the request.
var errNotRun = errors.New("not run")

// errServerError means that the server responded with status 5xx and another one may be tried.
var errServerError = errors.New("server error")

// errCallerGone means that the response cannot be written to the caller.
var errCallerGone = errors.New("caller's connection failed")

// run forwards the stream of a backend server, and resumes it at the same or another server if the route allows that. It
// returns nil if the whole response was forwarded.
func (s *stream) run(ctx context.Context) *failure {
	s.reader.lastID = s.metadata.LastEventID
	if s.retained != nil {
		// The record of the turn holds the whole output, so that the server must send it from the start.
		s.reader.lastID, s.skipUntil = "", s.metadata.LastEventID
	}
	for ctx.Err() == nil && s.upstreamRequests < maxUpstreamRequests {
		acquired, err := s.acquireForStream(ctx)
		if err != nil {
			return s.noServerFailure(ctx, err)
		}
		s.upstreamRequests++
		done, err := s.streamFrom(ctx, acquired)
		acquired.Release()
		switch {
		case errors.Is(err, errOutputTooLarge):
			return &failure{reason: "output too large to be retained", cause: err}
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

// acquireForStream acquires a server: resumeServer if it is set and not draining, for a short time even without an entry. Another one is
// acquired only if fewer possible executors are left than the route allows.
func (s *stream) acquireForStream(ctx context.Context) (*AcquiredServer, error) {
	s.onResumeServer = false
	if s.resumeServer == "" {
		return s.acquireOrWait(ctx)
	}
	resumeServer := s.resumeServer
	s.resumeServer = ""
	acquired, inUse := s.ingress.servers.AcquireServer(resumeServer)
	if executor := s.possibleExecutors[resumeServer]; executor != nil && !inUse && !executor.hasEnded() {
		acquired = executor.acquireAgain()
	}
	switch {
	case acquired != nil && s.quarantineFailure() != nil:
		acquired.Release()
		return nil, errQuarantined
	case acquired != nil && !s.awaitPermit(ctx, acquired, ratelimit.MaxWait):
		acquired.Release()
	case acquired != nil && s.checkAccess() != nil:
		acquired.Release()
		return nil, errNoServer // noServerFailure reports the outcome as unknown, because the stream has run
	case acquired != nil:
		s.server, s.load, s.loadAge = acquired.ID(), acquired.Load, acquired.LoadAge
		s.onResumeServer = true
		return acquired, nil
	}
	s.possibleExecutors.dropEnded()
	if len(s.possibleExecutors) >= s.maxExecutions() {
		return nil, errNoServer
	}
	return s.acquireOrWait(ctx)
}

// canResume reports whether another upstream request may be sent for the stream after the last one failed.
func (s *stream) canResume() bool {
	switch {
	case s.executions == 0:
		return true
	case !s.route.Retryable() || s.interruptions > maxResumes:
		return false
	}
	if s.resumeServer == "" {
		s.possibleExecutors.dropEnded()
	}
	return s.resumeServer != "" || len(s.possibleExecutors) < s.maxExecutions()
}

// recordExecution records that the server may have executed the stream; ended is set if it no longer does, as far as this
// host can reach it.
func (s *stream) recordExecution(server *AcquiredServer, ended bool) {
	s.executions++
	if ended {
		delete(s.possibleExecutors, server.ID())
		return
	}
	if s.possibleExecutors == nil {
		s.possibleExecutors = executors{}
	}
	s.possibleExecutors[server.ID()] = server
}

// streamFrom forwards the response of one server. done is set if it is complete. If the watchdog cancels the upstream
// request, err is the cause.
func (s *stream) streamFrom(callerCtx context.Context, acquired *AcquiredServer) (done bool, err error) {
	ctx, cancel := context.WithCancelCause(callerCtx)
	defer cancel(nil)
	s.monitored = s.newMonitoredStream(acquired, cancel)
	s.ingress.watchdog.add(s.monitored)
	defer s.ingress.watchdog.remove(s.monitored)
	done, err = s.sendAndForward(ctx, acquired)
	if cause := context.Cause(ctx); callerCtx.Err() == nil && cause != nil {
		err = errors.Wrapf(cause, "%v", err)
	}
	if err != nil && !errors.Is(err, errCallerGone) && !errors.Is(err, errNotRun) {
		s.recordInterruption(callerCtx, acquired, err)
	}
	return done, err
}

// newMonitoredStream returns the watchdog's entry of an upstream request. It cancels only a stream that may be resumed.
func (s *stream) newMonitoredStream(acquired *AcquiredServer, cancel context.CancelCauseFunc) *monitoredStream {
	monitored := &monitoredStream{server: acquired, pauseObjective: s.route.PauseObjective, sentAt: s.ingress.now(), cancel: cancel}
	if monitored.pauseObjective <= 0 {
		monitored.pauseObjective = defaultPauseObjective
	}
	if !s.route.Retryable() || s.interruptions >= maxResumes {
		monitored.cancel = func(error) {}
	}
	return monitored
}

func (s *stream) sendAndForward(ctx context.Context, acquired *AcquiredServer) (done bool, err error) {
	resp, respMetadata, err := s.sendUpstream(ctx, acquired, s.reader.lastID)
	if err != nil {
		return false, err
	}
	defer resp.Close()
	if respMetadata.NotRun {
		resp.Discard(maxRefusalBytes, refusalTimeout)
		s.lastErr = errors.Newf("backend server %s responded with status %d: not run", acquired.ID(), resp.Status)
		acquired.MarkFull()
		return false, errors.Mark(s.lastErr, errNotRun)
	}
	if resp.Status != http.StatusOK {
		return s.forwardNonStream(acquired, resp, respMetadata)
	}
	if err := s.validateResponse(resp, respMetadata, 0); err != nil {
		return false, err
	}
	s.monitored.accepted = true
	return s.forwardEvents(acquired, resp)
}

// forwardNonStream forwards a response that is no stream of events: its status is not 200.
func (s *stream) forwardNonStream(acquired *AcquiredServer, resp *upstream.Response, respMetadata ResponseMetadata) (bool, error) {
	body, err := s.readResponse(resp)
	if err == nil {
		err = s.validateResponse(resp, respMetadata, len(body))
	}
	if err == nil && s.headerSent {
		err = errors.Newf("backend server %s responded with status %d to a resumed stream", acquired.ID(), resp.Status)
	}
	// The server has executed the stream, so that the request may be sent to another one only if the route allows two.
	if err == nil && resp.Status >= http.StatusInternalServerError && s.route.Retryable() && len(s.possibleExecutors)+1 < s.maxExecutions() {
		err = errors.Mark(errors.Newf("backend server %s responded with status %d", acquired.ID(), resp.Status), errServerError)
	}
	if err != nil {
		return false, err
	}
	s.executions++
	s.recordCompletion(s.monitored.sentAt, resp.Status)
	recordResponseStatus(acquired, resp.Status)
	if err := s.writeResponse(s.w, resp, body); err != nil {
		return false, errors.Mark(err, errCallerGone)
	}
	return true, nil
}

// recordInterruption records an upstream request that broke off, and decides whether the stream is resumed at the same
// server. If the caller's ctx has ended, it records no failure of the server.
func (s *stream) recordInterruption(ctx context.Context, acquired *AcquiredServer, err error) {
	var sendErr *upstream.SendError
	dialFailed := errors.As(err, &sendErr) && sendErr.DialFailed
	unreachable := errors.Is(err, errServerUnreachable)
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
		if isRefused(err) {
			delete(s.possibleExecutors, acquired.ID())
		}
		acquired.RecordConnectFailure(err)
	case unreachable:
		s.recordExecution(acquired, true)
	case errors.Is(err, errServerError):
		s.recordExecution(acquired, false)
		acquired.RecordResponseFailure(err)
	default:
		s.recordExecution(acquired, false)
		acquired.RecordResponseFailure(err)
		s.recordBreak(ctx, acquired, s.monitored.sentAt, s.monitored.accepted && !s.monitored.started.Load())
		if s.canResumeOnSameServer(acquired) {
			s.resumeServer = acquired.ID()
		}
	}
	logging.Emit(logging.StreamInterrupted, logging.Fields{
		"request": s.metadata.Attempt, "server": acquired.ID(), "after_event": s.reader.lastID, "resumes": s.interruptions, "error": err,
	})
}

// canResumeOnSameServer reports whether a stream may be resumed at the server where it broke off: an event has arrived in
// this upstream request, or only one connection to the server has failed so far.
func (s *stream) canResumeOnSameServer(acquired *AcquiredServer) bool {
	return s.monitored.started.Load() || !s.onResumeServer && !acquired.RecentlyEjected()
}

// forwardEvents forwards whole events as they arrive, until the stream ends after one. A resumed stream must continue
// after the last event that was forwarded.
func (s *stream) forwardEvents(acquired *AcquiredServer, resp *upstream.Response) (bool, error) {
	buffer := make([]byte, streamBufferBytes)
	resumedAfter := s.reader.lastID
	checkFirstID := s.interruptions > 0 && resumedAfter != ""
	var pace paceMeter
	for {
		n, readErr := resp.Read(buffer)
		acquired.route.recordReceived(n)
		progressBefore := s.reader.progress
		events, err := s.reader.parse(buffer[:n])
		if err != nil {
			return false, err
		}
		if checkFirstID && len(events) > 0 {
			checkFirstID = false
			if !isLaterEventID(resumedAfter, firstEventID(events)) {
				s.reader.lastID = resumedAfter
				return false, errors.Newf("backend server %s did not resume the stream after event %q", acquired.ID(), resumedAfter)
			}
		}
		if len(events) > 0 {
			pace.record(s.ingress.now(), s.reader.progress)
			if s.reader.progress > progressBefore && s.monitored.recordEvent(s.ingress.now()) {
				acquired.RecordSuccess()
			}
			if err := s.writeEvents(resp, events); err != nil {
				return false, err
			}
		}
		switch {
		case readErr == io.EOF && len(s.reader.partialEvent()) == 0:
			s.executions++
			s.eventsComplete = true
			s.recordCompletion(s.monitored.sentAt, resp.Status)
			acquired.recordPace(pace)
			return true, s.sendHeader(resp)
		case readErr != nil:
			return false, errors.Wrapf(readErr, "read stream of backend server %s", acquired.ID())
		}
	}
}

// sendHeader sends the response header to the caller unless it has been sent.
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
	if s.retained != nil {
		if err := s.collectOutput(events); err != nil {
			return errors.Mark(err, errCallerGone)
		}
		if events = s.skipKnown(events); len(events) == 0 {
			return nil
		}
	}
	if err := s.sendHeader(resp); err != nil {
		return err
	}
	if s.firstEventAt.IsZero() {
		s.firstEventAt = s.ingress.now()
		// A caller that does not read must not keep the request open beyond its deadline.
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

// skipKnown returns the events without those that the caller has: the ones up to skipUntil.
func (s *stream) skipKnown(events []byte) []byte {
	for s.skipUntil != "" && len(events) > 0 {
		n := eventEnd(events)
		id := firstEventID(events[:n])
		if id != "" && id != s.skipUntil && isLaterEventID(s.skipUntil, id) {
			s.skipUntil = ""
			break
		}
		if id == s.skipUntil {
			s.skipUntil = ""
		}
		events = events[n:]
	}
	return events
}

// firstEventID returns the ID of the first event in b that has one.
func firstEventID(b []byte) string {
	var parser sseParser
	n := eventEnd(b)
	for n > 0 && parser.lastID == "" {
		parser.recordEventID(b[:n])
		b = b[n:]
		n = eventEnd(b)
	}
	return parser.lastID
}
