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
	// writeSlack is how long after the request's deadline a write to a slow caller may still take.
	writeSlack = 200 * time.Millisecond
)

// stream is the answer of a streaming request on its way to the caller.
type stream struct {
	*exchange
	w  http.ResponseWriter
	rc *http.ResponseController

	reader  eventReader
	started bool
	// resumes counts the continuations after a break.
	resumes int
	// ran holds the servers that may have run the stream and may be alive; a route bounds their number.
	ran map[string]bool
	// same is the server that ran the stream before it broke off; it is asked first, because it may be alive.
	same string
	// askedSame is set if the send under way is such a second one; without an event it is the last at that server.
	askedSame bool
	// watch is the send that is under way.
	watch *watched
	// firstEvent is when the first event was passed on.
	firstEvent time.Time
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
	s.reader.last = s.call.LastEvent
	for ctx.Err() == nil && s.sends < maxSends {
		lease, err := s.placeStream(ctx)
		if err != nil {
			return s.noPlace(ctx, err)
		}
		s.sends++
		done, err := s.runAt(ctx, lease)
		lease.Release()
		switch {
		case errors.Is(err, errCallerGone):
			return &failure{reason: "caller left", cause: err}
		case done:
			return nil
		case !s.mayResume():
			return s.givenUp(ctx)
		}
	}
	return s.givenUp(ctx)
}

// placeStream finds a server; a stream that broke off goes on at the same server if that still takes connections.
func (s *stream) placeStream(ctx context.Context) (*Lease, error) {
	s.askedSame = false
	if s.same == "" {
		return s.place(ctx)
	}
	server := s.same
	s.same = ""
	lease, inUse := s.in.servers.AcquireServer(server)
	switch {
	case lease != nil:
		s.server, s.load, s.loadAge = lease.ID(), lease.Load, lease.LoadAge
		s.askedSame = true
		return lease, nil
	case !inUse:
		delete(s.ran, server)
	}
	if len(s.ran) >= s.maxRuns() {
		return nil, errNoServer
	}
	return s.place(ctx)
}

// mayResume reports whether the stream may be sent to a server after the last send failed.
func (s *stream) mayResume() bool {
	switch {
	case s.runs == 0:
		return true
	case !s.route.MayRepeat() || s.resumes > maxResumes:
		return false
	}
	return s.same != "" || len(s.ran) < s.maxRuns()
}

// noteRun notes that the server may have run the stream. One that is known to have ended does not count.
func (s *stream) noteRun(server string, ended bool) {
	s.runs++
	if ended {
		delete(s.ran, server)
		return
	}
	if s.ran == nil {
		s.ran = map[string]bool{}
	}
	s.ran[server] = true
}

// runAt passes on what one server streams. done is set if the answer is whole.
func (s *stream) runAt(caller context.Context, lease *Lease) (done bool, err error) {
	ctx, cancel := context.WithCancelCause(caller)
	defer cancel(nil)
	s.watch = s.watched(lease, cancel)
	s.in.watchdog.add(s.watch)
	defer s.in.watchdog.remove(s.watch)
	done, err = s.exchangeAt(ctx, lease)
	if cause := context.Cause(ctx); caller.Err() == nil && cause != nil {
		err = errors.Wrapf(cause, "%v", err)
	}
	if err != nil && !errors.Is(err, errCallerGone) && !errors.Is(err, errNotRun) {
		s.broke(caller, lease, err)
	}
	return done, err
}

// watched returns the entry of a send for the watchdog. Only a stream that may be asked for again is ended by it.
func (s *stream) watched(lease *Lease, cancel context.CancelCauseFunc) *watched {
	w := &watched{lease: lease, pause: s.route.PauseObjective, sent: s.in.now(), cancel: cancel}
	if w.pause <= 0 {
		w.pause = pauseDefault
	}
	if !s.route.MayRepeat() || s.resumes >= maxResumes {
		w.cancel = func(error) {}
	}
	return w
}

func (s *stream) exchangeAt(ctx context.Context, lease *Lease) (done bool, err error) {
	resp, answer, err := s.send(ctx, lease, s.reader.last)
	if err != nil {
		return false, err
	}
	defer resp.Close()
	if answer.NotRun {
		_, err := io.Copy(io.Discard, io.LimitReader(resp, maxAnswerBytes))
		s.last = errors.Newf("backend server %s answered %d: not run (%v)", lease.ID(), resp.Status, err)
		lease.Refused()
		return false, errors.Mark(s.last, errNotRun)
	}
	if resp.Status != http.StatusOK {
		return s.passFailure(lease, resp, answer)
	}
	if err := s.checkAnswer(resp, answer, 0); err != nil {
		return false, err
	}
	return s.pass(lease, resp)
}

// passFailure passes on an answer that is no stream.
func (s *stream) passFailure(lease *Lease, resp *upstream.Response, answer Answer) (bool, error) {
	body, err := io.ReadAll(io.LimitReader(resp, maxAnswerBytes+1))
	if err == nil {
		err = s.checkAnswer(resp, answer, len(body))
	}
	if err == nil && s.started {
		err = errors.Newf("backend server %s answered the continuation with %d", lease.ID(), resp.Status)
	}
	// The server has run the stream, so that another one may be asked only if the route allows two.
	if err == nil && resp.Status >= http.StatusInternalServerError && s.route.MayRepeat() && len(s.ran)+1 < s.maxRuns() {
		err = errors.Mark(errors.Newf("backend server %s answered %d", lease.ID(), resp.Status), errServerError)
	}
	if err != nil {
		return false, err
	}
	s.runs++
	judge(lease, resp.Status)
	if err := writeAnswer(s.w, resp, body); err != nil {
		return false, errors.Mark(err, errCallerGone)
	}
	return true, nil
}

// broke records a send that ended before the answer was whole.
func (s *stream) broke(ctx context.Context, lease *Lease, err error) {
	var f *upstream.Failure
	dialFailed := errors.As(err, &f) && f.Dial
	dead := errors.Is(err, errServerSilent)
	s.last = err
	s.reader.reset()
	if ctx.Err() != nil {
		if !dialFailed {
			s.runs++
		}
		return
	}
	s.resumes++
	switch {
	case dialFailed:
		delete(s.ran, lease.ID())
		lease.Failed(err)
	case dead:
		s.noteRun(lease.ID(), true)
	case errors.Is(err, errServerError):
		s.noteRun(lease.ID(), false)
		lease.Broke(err)
	default:
		s.noteRun(lease.ID(), false)
		lease.Broke(err)
		if s.worthAskingAgain(lease) {
			s.same = lease.ID()
		}
	}
	logging.Emit(logging.StreamBroke, logging.Fields{
		"request": s.call.Attempt, "server": lease.ID(), "after_event": s.reader.last, "resumes": s.resumes, "error": err,
	})
}

// worthAskingAgain reports whether a stream that broke off may go on at the same server: the server has shown that it
// works on the stream, or only one connection to it has failed so far.
func (s *stream) worthAskingAgain(lease *Lease) bool {
	return s.watch.begun.Load() || !s.askedSame && !lease.Doubtful()
}

func (s *stream) pass(lease *Lease, resp *upstream.Response) (bool, error) {
	buffer := make([]byte, streamBufferBytes)
	first := s.reader.last
	check := s.resumes > 0 && first != ""
	for {
		n, readErr := resp.Read(buffer)
		events, err := s.reader.take(buffer[:n])
		if err != nil {
			return false, err
		}
		if check && len(events) > 0 {
			check = false
			if !follows(first, firstID(events)) {
				s.reader.last = first
				return false, errors.Newf("backend server %s did not continue after event %s", lease.ID(), first)
			}
		}
		if len(events) > 0 {
			if s.watch.noteEvent(s.in.now()) {
				lease.Answered()
			}
			if err := s.write(resp, events); err != nil {
				return false, err
			}
		}
		switch {
		case readErr == io.EOF && len(s.reader.rest()) == 0:
			s.runs++
			return true, s.start(resp)
		case readErr != nil:
			return false, errors.Wrapf(readErr, "stream of backend server %s", lease.ID())
		}
	}
}

// start sends the header of the answer if that has not happened.
func (s *stream) start(resp *upstream.Response) error {
	if s.started {
		return nil
	}
	s.started = true
	copyAnswerHeader(s.w.Header(), resp.Header)
	s.w.WriteHeader(resp.Status)
	return nil
}

func (s *stream) write(resp *upstream.Response, events []byte) error {
	if err := s.start(resp); err != nil {
		return err
	}
	if s.firstEvent.IsZero() {
		s.firstEvent = s.in.now()
		// A caller that does not read must not hold the request beyond its time.
		if err := s.rc.SetWriteDeadline(s.deadline.Add(writeSlack)); err != nil {
			return errors.Mark(err, errCallerGone)
		}
	}
	if _, err := s.w.Write(events); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	if err := s.rc.Flush(); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	return nil
}

// firstID returns the ID of the first event in b that has one.
func firstID(b []byte) string {
	var r eventReader
	n := eventEnd(b)
	for n > 0 && r.last == "" {
		r.note(b[:n])
		b = b[n:]
		n = eventEnd(b)
	}
	return r.last
}
